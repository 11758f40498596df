/**
 * Tells to which daemons of the own failure domain the path is cut in either direction, by probes that were not
 * answered.
 *
 * @example
 * ```ts
 * liveness.recordProbe("daemon-2", nowMs);
 * liveness.recordAnswer("daemon-2");
 * liveness.isSilent("daemon-2", nowMs);
 * ```
 *
 * @module
 */

/** Time in milliseconds without an answer after which a path counts as cut. */
const silentMs = 800;
/**
 * Probes without an answer after which a path counts as cut. One or two get lost where packets do, and a daemon whose
 * own loop stood still has sent only one when it looks for answers.
 */
const silentProbes = 3;
/** Probes without an answer after which other daemons are told. */
const suspectProbes = 2;
/** Milliseconds for which an answer outweighs the word of others that a daemon does not answer them. */
const answerLifeMs = 2_000;

interface Unanswered {
    readonly sinceMs: number;
    readonly probes: number;
}

/** Probes and answers by daemon. An answer proves both directions. */
export class PeerLiveness {
    /** Last answer of each daemon; one that never gave any may not have started or not know this one yet. */
    private readonly answeredAtMs = new Map<string, number>();
    /** Daemons that owe an answer, the one that was probed longest ago first. */
    private readonly unanswered = new Map<string, Unanswered>();
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

    recordAnswer(peerId: string, nowMs: number): void {
        this.answeredAtMs.set(peerId, nowMs);
        this.unanswered.delete(peerId);
        this.suspected.delete(peerId);
    }

    /** Another daemon gets no answers there, so this one should probe it too. */
    recordSuspicion(peerId: string, nowMs: number): void {
        const answeredAtMs = this.answeredAtMs.get(peerId);
        if (
            answeredAtMs !== undefined && nowMs - answeredAtMs > answerLifeMs && !this.unanswered.has(peerId)
        ) {
            this.suspected.add(peerId);
        }
    }

    isSilent(peerId: string, nowMs: number): boolean {
        const state = this.unanswered.get(peerId);
        return state !== undefined && this.answeredAtMs.has(peerId) && isOver(state, nowMs);
    }

    listSilent(nowMs: number): readonly string[] {
        return [...this.unanswered.keys()].filter(peerId => this.isSilent(peerId, nowMs));
    }

    /** Daemons to name to others: the path may be cut here only, so they shall find out for themselves. */
    listSuspects(): readonly string[] {
        return [...this.unanswered].flatMap(([peerId, { probes }]) =>
            probes >= suspectProbes && this.answeredAtMs.has(peerId) ? [peerId] : []
        );
    }

    /** Daemons to probe out of turn, last those that are known to be silent. */
    listDoubtful(nowMs: number): readonly string[] {
        const undecided: string[] = [];
        const decided: string[] = [];
        for (const [peerId, state] of this.unanswered) {
            (isOver(state, nowMs) ? decided : undecided).push(peerId);
        }
        return [...undecided, ...this.suspected, ...decided];
    }

    /** Forgets daemons that are no longer listed. */
    removeExcept(isListed: (peerId: string) => boolean): void {
        for (const id of [...this.answeredAtMs.keys(), ...this.unanswered.keys(), ...this.suspected]) {
            if (!isListed(id)) {
                this.answeredAtMs.delete(id);
                this.unanswered.delete(id);
                this.suspected.delete(id);
            }
        }
    }
}

function isOver({ probes, sinceMs }: Unanswered, nowMs: number): boolean {
    return probes >= silentProbes && nowMs - sinceMs > silentMs;
}
