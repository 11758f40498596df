/** Milliseconds without an ordinary request after which a faulty upstream counts as out of rotation. */
const idleMs = 1_000;

/** First time after which nothing was sent for `idleMs`; undefined when there is none before `endMs`. */
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
