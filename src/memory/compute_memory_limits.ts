interface MemoryLimits {
    /** Bytes that all transfers of the daemon together may hold. */
    readonly capacityBytes: number;
    /** Part of the capacity that only small transfers use. */
    readonly reservedBytes: number;
    /** Most bytes of a small transfer. */
    readonly smallBytes: number;
    /** Most bytes of a transfer that does not wait behind others. */
    readonly shortBytes: number;
}

const bytesPerMb = 1_048_576;
/** Resident bytes of a daemon under load without large transfers: heap, code and buffers that are not collected. */
const baseBytes = 130 * bytesPerMb;
/**
 * Share of the rest for transfers; their buffers are freed late. On the smallest instances, with 250 MB, one body of
 * 64 MB still fits beside the reserved part.
 */
const transferShare = 0.62;
const leastCapacityBytes = 16 * bytesPerMb;
const reservedShare = 1 / 8;
/** Uploads of ordinary callers have 60 KB on average and 360 KB at most. */
const smallBytes = 524_288;
/** The 1,850 connections of the smallest instances hold less than half of the capacity with such transfers. */
const shortBytes = 16_384;

/** Divides the memory of the instance. */
export function computeMemoryLimits(memoryBytes: number): MemoryLimits {
    const capacityBytes = Math.max(leastCapacityBytes, Math.floor((memoryBytes - baseBytes) * transferShare));
    return {
        capacityBytes,
        reservedBytes: Math.floor(capacityBytes * reservedShare),
        smallBytes,
        shortBytes,
    };
}
