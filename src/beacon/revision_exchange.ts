/** Exchange of the revisions of the platform's store between daemons. */
export interface RevisionExchange {
    /** Revision up to which this daemon has read; 0 when it has read nothing. */
    getRevision(): number;
    /** Records that another daemon has read up to this revision. */
    recordPeerRevision(revision: number): void;
}
