/** Names one run of a daemon. */
export interface OwnerIdentity {
    readonly ownerId: string;
    /** Random number made at the start of the process. */
    readonly incarnation: string;
}
