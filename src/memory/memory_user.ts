/** A transfer whose bytes are charged and that can be closed to free them. */
export interface MemoryUser {
    /** Bytes that a close frees. */
    getHeldBytes(): number;
    /** Bytes that the peer has sent or taken so far. */
    getProgressBytes(): number;
    /** Closes the transfer and releases its charge. */
    close(): void;
}
