/** Changes of the platform's store that another daemon forwards. */
export interface PeerChanges {
    /** Revision up to which the changes are complete. */
    readonly revision: number;
    /** Changed items in the platform's encoding. */
    readonly items: readonly string[];
    /** True when the items are all values of the store and not only the changes. */
    readonly complete: boolean;
    /** True while upstreams write again the entries that expired in an outage of the store. */
    readonly recovering: boolean;
}
