/**
 * Milliseconds since the start of the system, the same for all processes. Histories of several processes are ordered by
 * it: the time of day can step back between an execution and its answer.
 */
export function getMonotonicMs(): number {
    return Number(process.hrtime.bigint()) / 1e6;
}
