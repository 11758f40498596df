/** Content of an idempotency key. */
export interface IdempotencyKey {
    /** Daemon that keeps the record of the operation. */
    readonly ownerId: string;
    readonly incarnation: string;
    /** Milliseconds since the epoch; only the owner compares it with a clock. */
    readonly expiresAtMs: number;
    /** Random part. */
    readonly nonce: string;
}
