/** Score of a pair in rendezvous hashing, from a hash of each part: the finalizer of MurmurHash3. */
export function computePairScore(left: number, right: number): number {
    let hash = Math.imul(left, 0x9e3779b1) ^ right;
    hash = Math.imul(hash ^ (hash >>> 16), 0x85ebca6b);
    hash = Math.imul(hash ^ (hash >>> 13), 0xc2b2ae35);
    return (hash ^ (hash >>> 16)) >>> 0;
}
