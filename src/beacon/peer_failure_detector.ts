/**
 * Tells to which daemons of the own failure domain the path is cut in either direction, by probes that were
 * not answered.
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

/** Time in milliseconds without an answer after which a path counts as cut. */
const unresponsiveMs = 800;
/**
 * Probes without an answer after which a path counts as cut. One or two get lost where packets do, and a
 * daemon whose own loop stood still has sent only one when it looks for answers.
 */
const unresponsiveProbes = 3;
/** Probes without an answer after which other daemons are told. */
const suspectProbes = 2;
/** Milliseconds for which an answer outweighs the word of others that a daemon does not answer them. */
const ackMaxAgeMs = 2_000;

interface PendingProbes {
    readonly sinceMs: number;
    readonly probes: number;
}

/** Probes and answers by daemon. An answer proves both directions. */
export class PeerFailureDetector {
    /** Last answer of each daemon; one that never gave any may not have started or not know this one yet. */
    private readonly ackedAtMs = new Map<string, number>();
    /** Daemons that owe an answer, the one that was probed longest ago first. */
    private readonly unanswered = new Map<string, PendingProbes>();
    /** Daemons that do not answer others. */
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

    /** Another daemon gets no answers there, so this one should probe it too. */
    recordSuspicion(peerId: string, nowMs: number): void {
        const answeredAtMs = this.ackedAtMs.get(peerId);
        if (
            answeredAtMs !== undefined && nowMs - answeredAtMs > ackMaxAgeMs && !this.unanswered.has(peerId)
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

    /** Daemons to name to others: the path may be cut here only, so they shall find out for themselves. */
    listSuspects(): readonly string[] {
        return [...this.unanswered].flatMap(([peerId, { probes }]) =>
            probes >= suspectProbes && this.ackedAtMs.has(peerId) ? [peerId] : []
        );
    }

    /** Daemons to probe out of turn, last those that are known to be silent. */
    listProbeTargets(nowMs: number): readonly string[] {
        const pending: string[] = [];
        const unresponsive: string[] = [];
        for (const [peerId, state] of this.unanswered) {
            (hasTimedOut(state, nowMs) ? unresponsive : pending).push(peerId);
        }
        return [...pending, ...this.suspected, ...unresponsive];
    }

    /** Forgets daemons that are no longer listed. */
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
