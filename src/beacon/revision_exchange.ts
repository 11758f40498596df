/** Revisions of the platform's store that daemons tell each other. */
export interface RevisionExchange {
    /** Revision up to which this daemon has read; 0 when it has read nothing. */
    getRevision(): number;
    /** Another daemon has read up to this revision. */
    recordPeerRevision(revision: number): void;
}
