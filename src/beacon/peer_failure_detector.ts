/**
 * Detects daemons of the local failure domain to which the path is down in either direction, by probes
 * without an acknowledgement.
 *
 * @example
 * ```ts
 * failureDetector.recordProbe("daemon-2", nowMs);
 * failureDetector.recordAck("daemon-2", nowMs);
 * failureDetector.isUnresponsive("daemon-2", nowMs);
 * ```
 *
 * @module
 */

/** Milliseconds without an acknowledgement after which a daemon counts as unresponsive. */
const unresponsiveMs = 800;
/**
 * Probes without an acknowledgement after which a daemon counts as unresponsive. Packet loss can drop one or
 * two, and a daemon whose own event loop was blocked has sent only one before it checks for acknowledgements.
 */
const unresponsiveProbes = 3;
/** Probes without an acknowledgement after which the daemon is reported to others as a suspect. */
const suspectProbes = 2;
/** Milliseconds after an acknowledgement in which suspicions reported by other daemons are ignored. */
const ackMaxAgeMs = 2_000;

interface PendingProbes {
    readonly sinceMs: number;
    readonly probes: number;
}

/** Tracks probes and acknowledgements by daemon. An acknowledgement proves both directions of the path. */
export class PeerFailureDetector {
    /**
     * Time of the last acknowledgement of each daemon. A daemon without one may not have started or may not
     * know this daemon yet.
     */
    private readonly ackedAtMs = new Map<string, number>();
    /** Daemons with a pending probe, the one that was probed longest ago first. */
    private readonly unanswered = new Map<string, PendingProbes>();
    /** Daemons that are suspected by other daemons. */
    private readonly suspected = new Set<string>();

    recordProbe(peerId: string, nowMs: number): void {
        const before = this.unanswered.get(peerId);
        this.unanswered.delete(peerId);
        this.unanswered.set(peerId, {
            sinceMs: before?.sinceMs ?? nowMs,
            probes: (before?.probes ?? 0) + 1,
        });
        this.suspected.delete(peerId);
    }

    recordAck(peerId: string, nowMs: number): void {
        this.ackedAtMs.set(peerId, nowMs);
        this.unanswered.delete(peerId);
        this.suspected.delete(peerId);
    }

    /** Records that another daemon suspects the peer, so that this daemon probes it too. */
    recordSuspicion(peerId: string, nowMs: number): void {
        const ackedAtMs = this.ackedAtMs.get(peerId);
        if (
            ackedAtMs !== undefined && nowMs - ackedAtMs > ackMaxAgeMs && !this.unanswered.has(peerId)
        ) {
            this.suspected.add(peerId);
        }
    }

    isUnresponsive(peerId: string, nowMs: number): boolean {
        const state = this.unanswered.get(peerId);
        return state !== undefined && this.ackedAtMs.has(peerId) && hasTimedOut(state, nowMs);
    }

    listUnresponsive(nowMs: number): readonly string[] {
        return [...this.unanswered.keys()].filter(peerId => this.isUnresponsive(peerId, nowMs));
    }

    /** Daemons to report to others, which then probe them too: the path may be down for this daemon only. */
    listSuspects(): readonly string[] {
        return [...this.unanswered].flatMap(([peerId, { probes }]) =>
            probes >= suspectProbes && this.ackedAtMs.has(peerId) ? [peerId] : []
        );
    }

    /** Daemons to probe in addition to the regular order, unresponsive ones last. */
    listProbeTargets(nowMs: number): readonly string[] {
        const pending: string[] = [];
        const unresponsive: string[] = [];
        for (const [peerId, state] of this.unanswered) {
            (hasTimedOut(state, nowMs) ? unresponsive : pending).push(peerId);
        }
        return [...pending, ...this.suspected, ...unresponsive];
    }

    /** Removes daemons that are no longer listed. */
    removeUnlisted(isListed: (peerId: string) => boolean): void {
        for (const id of [...this.ackedAtMs.keys(), ...this.unanswered.keys(), ...this.suspected]) {
            if (!isListed(id)) {
                this.ackedAtMs.delete(id);
                this.unanswered.delete(id);
                this.suspected.delete(id);
            }
        }
    }
}

function hasTimedOut({ probes, sinceMs }: PendingProbes, nowMs: number): boolean {
    return probes >= unresponsiveProbes && nowMs - sinceMs > unresponsiveMs;
}
