/** Frees buffers that are no longer used; the engine does so late, because their bytes are outside of its heap. */
export interface BufferCollector {
    /** Reports bytes of short-lived buffers that were dropped. */
    recordDropped(bytes: number): void;
    /** Reports bytes of a transfer that has ended. */
    recordReleased(bytes: number): void;
    /** Frees all buffers that are not used, which takes milliseconds. */
    purge(): void;
}
