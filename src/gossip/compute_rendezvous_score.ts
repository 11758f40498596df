/** Score of a candidate in rendezvous hashing: FNV-1a over the text, with the finalizer of MurmurHash3. */
export function computeRendezvousScore(group: string, candidate: string): number {
    let hash = 0x811c9dc5;
    for (const character of `${group}/${candidate}`) {
        hash = Math.imul(hash ^ character.codePointAt(0)!, 0x01000193);
    }
    hash = Math.imul(hash ^ (hash >>> 16), 0x85ebca6b);
    hash = Math.imul(hash ^ (hash >>> 13), 0xc2b2ae35);
    return (hash ^ (hash >>> 16)) >>> 0;
}
