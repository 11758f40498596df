/**
 * State of the platform's store. A store that comes back from an older copy gives revisions out again, in a later era.
 */
export interface StoreRevision {
    /** Times that the store came back from an older copy. */
    readonly era: number;
    /** Increases with each change within an era. */
    readonly revision: number;
}
