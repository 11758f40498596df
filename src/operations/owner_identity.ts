/** Identifies one process of a daemon. */
export interface OwnerIdentity {
    readonly ownerId: string;
    /** Random text generated at the start of the process. */
    readonly incarnation: string;
}
