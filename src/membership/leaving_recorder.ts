/** Takes note of upstreams that are leaving, from any source. */
export interface LeavingRecorder {
    /** `cause` is for the audit trail, for example `list`, `reply` or `peer`. */
    setLeaving(upstreamId: string, cause: string): void;
}
