/**
 * Returns the milliseconds of the system's monotonic clock, which all processes share. It orders the merged
 * histories of several processes, as the time of day can step back between an execution and its answer.
 */
export function getMonotonicMs(): number {
    return Number(process.hrtime.bigint()) / 1e6;
}
