const daySeconds = 86_400;
/** Changes of the configuration per second, and three of the instance list for each restart or failure. */
const changesPerSecond = 9_000 / daySeconds + 3 * (3_500 + 67) / daySeconds;
/** Bytes of one fetched section with its request and headers, at the fetching daemon and at the peer. */
const fetchBytes = 2 * (1_200 + 300 + 718);

/** Bytes per second of one daemon at the target rate of changes, given its bytes per second without changes. */
export function computeControlBytes(idleBytes: number): number {
    return idleBytes + changesPerSecond * fetchBytes;
}
