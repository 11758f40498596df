/**
 * Tells which daemons of the own failure domain hear this one and are heard by it.
 *
 * @example
 * ```ts
 * liveness.record("daemon-2", ["daemon-1"], nowMs);
 * liveness.isSilent("daemon-2", nowMs);
 * ```
 *
 * @module
 */

/** Time in milliseconds without a beacon after which a path counts as cut; three beacons are lost in it. */
const silentMs = 800;

interface Peer {
    readonly heardAtMs: number;
    /** Last time at which the peer said that it hears this daemon. */
    readonly hearsMeAtMs: number;
}

/** Last beacons by daemon. A cut in one direction shows in the list of those that a peer hears. */
export class PeerLiveness {
    private readonly peers = new Map<string, Peer>();

    constructor(private readonly daemonId: string) {}

    record(peerId: string, heard: readonly string[], nowMs: number): void {
        const known = this.peers.get(peerId);
        const hearsMe = known === undefined || heard.includes(this.daemonId);
        this.peers.set(peerId, {
            heardAtMs: nowMs,
            hearsMeAtMs: hearsMe ? nowMs : known.hearsMeAtMs,
        });
    }

    /** True when beacons of the daemon arrived before and no longer do, in either direction. */
    isSilent(peerId: string, nowMs: number): boolean {
        const peer = this.peers.get(peerId);
        return peer !== undefined && nowMs - Math.min(peer.heardAtMs, peer.hearsMeAtMs) > silentMs;
    }

    listSilent(nowMs: number): readonly string[] {
        return [...this.peers.keys()].filter(peerId => this.isSilent(peerId, nowMs));
    }

    listHeard(nowMs: number): readonly string[] {
        return [...this.peers].filter(([, { heardAtMs }]) => nowMs - heardAtMs <= silentMs).map(([id]) => id);
    }

    /** Forgets daemons that are no longer listed. */
    removeExcept(daemons: { has(id: string): boolean; }): void {
        for (const id of [...this.peers.keys()]) {
            if (!daemons.has(id)) {
                this.peers.delete(id);
            }
        }
    }
}
