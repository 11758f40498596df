/** Bytes that one holder has charged to the memory account. */
export interface MemoryCharge {
    /** Charges further bytes; false when the account has no room for them. */
    add(bytes: number): boolean;
    getBytes(): number;
    /** Returns all bytes; a second call does nothing. */
    close(): void;
}
