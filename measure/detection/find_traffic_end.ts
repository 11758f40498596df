/** A faulty upstream counts as out when no ordinary request was sent to it for this time in milliseconds. */
const idleMs = 1_000;

/** First time from which on nothing was sent for the quiet time; undefined when there is none before the end. */
export function findTrafficEnd(sentMs: readonly number[], endMs: number): number | undefined {
    let lastMs = 0;
    for (const atMs of [...sentMs, endMs]) {
        if (atMs - lastMs >= idleMs) {
            return lastMs;
        }
        lastMs = atMs;
    }
    return undefined;
}
