const maxUint32 = 2 ** 32 - 1;

/** Nearest value that a uint32 field of a message can hold; the encoder throws for all others. */
export function encodeUint32(value: number): number {
    return Number.isNaN(value) ? 0 : Math.min(maxUint32, Math.max(0, Math.round(value)));
}
