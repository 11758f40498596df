/** Announces to the other daemons that this daemon's upstreams are leaving. */
export interface LeavingAnnouncer {
    sendLeaving(): void;
}
