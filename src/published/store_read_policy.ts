/**
 * When a daemon reads the platform's store, and for how long a watch of it waits.
 *
 * The daemon that watches the store answers for its failure domain. The others read it themselves when they hear of
 * no answer in time, the standby first and the others at random times, so that one of them reads for all.
 *
 * @example
 * ```ts
 * const policy = new StoreReadPolicy({ random, getApplyMs, getSilenceMs, getBounds });
 * const waitMs = policy.computeWatchMs(proof);
 * const delayMs = policy.computeDelayMs({ rank, contactAgeMs, behindMs, proof });
 * ```
 *
 * @module
 */
import type { RevocationBounds } from "../authenticate/revocation_bounds.ts";
import type { RandomSource } from "../core/random_source.ts";

interface Options {
    readonly random: RandomSource;
    /** Milliseconds within which the platform wants a change in force. */
    readonly getApplyMs: () => number;
    /** Milliseconds after open connections went silent within which changes must be read again. */
    readonly getSilenceMs: () => number;
    readonly getBounds: () => RevocationBounds;
}

interface ProofState {
    /** Milliseconds since the moment until which the configuration is proved the newest. */
    readonly ageMs: number;
    /** Milliseconds for which answers of the store prove nothing. */
    readonly blockedMs: number;
}

interface FollowerState {
    /** Place in the order of the daemons of the failure domain; 1 is the standby. */
    readonly rank: number;
    readonly contactAgeMs: number;
    /** Milliseconds since another daemon first reported a newer revision. */
    readonly behindMs: number;
    readonly proof: ProofState;
}

/**
 * Milliseconds by which a watch is shorter than the time in which a silent connection must be noticed: 500 until it
 * counts as silent, the rest for one more read and for passing it on.
 */
const silenceReserveMs = 800;
/**
 * Shortest watch in milliseconds; each call has a cost, even one without a change. Shorter ones are not probed, so
 * that the standby would read the store too.
 */
const minWatchMs = 1_000;
/** The same where the bound on the age of the proof leaves no time for more. */
const minProofWatchMs = 200;
/** Milliseconds that a read waits for a change when it must answer at once. */
const pollMs = 1;
/**
 * Fraction of the time to put a change in force after which a daemon reads the store itself if no other daemon
 * of its failure domain is known to have reached it. The rest is a margin for that read.
 */
const contactShare = 0.5;
/** The same fraction at the standby of the daemon that watches the store. */
const standbyContactShare = 0.4;
/** Largest part by which a daemon delays that read at random, so that one daemon reads for the others. */
const contactJitter = 0.15;
/**
 * Milliseconds after the first report of a newer revision in which the changes should arrive from a daemon that
 * holds them. One that has just started knows the revision and not the changes before.
 */
const maxBehindMs = 300;
/**
 * Fractions of the bound on the age of the proof at which a daemon has it renewed: at the end of a watch, and by a
 * read of its own at the standby and at the others. The others hear of the end of a watch within a period of the
 * probes or two; the rest of the bound is for a read that fails once.
 */
const watchProofShare = 0.55;
const standbyProofShare = 0.6;
const proofShare = 0.65;
const proofJitter = 0.1;

/** Decides by the age of the newest contact, of the first unread change and of the proof. */
export class StoreReadPolicy {
    constructor(private readonly options: Options) {}

    /** Whole milliseconds for which a watch waits at most. */
    computeWatchMs({ ageMs, blockedMs }: ProofState): number {
        const watchMs = Math.max(minWatchMs, this.options.getSilenceMs() - silenceReserveMs);
        const leftMs = this.computeProofLeftMs({ ageMs, blockedMs }, watchProofShare);
        if (leftMs >= minWatchMs) {
            return Math.ceil(Math.min(watchMs, leftMs));
        }
        // While answers prove nothing, a poll would only be repeated.
        return ageMs > leftMs && blockedMs <= 0 ? pollMs : Math.ceil(Math.max(minProofWatchMs, leftMs));
    }

    /** Milliseconds to wait before this daemon reads the store itself; not positive when it must read at once. */
    computeDelayMs({ behindMs, contactAgeMs, proof, rank }: FollowerState): number {
        const { getApplyMs, random } = this.options;
        const jitter = random.getFloat();
        const maxContactAgeMs = getApplyMs()
            * (rank === 1 ? standbyContactShare : contactShare + contactJitter * jitter);
        const share = rank === 1 ? standbyProofShare : proofShare + proofJitter * jitter;
        const proofLeftMs = this.computeProofLeftMs(proof, share);
        return Math.min(maxContactAgeMs - contactAgeMs, maxBehindMs - behindMs, proofLeftMs);
    }

    /** Milliseconds that a read waits for changes when no other daemon is known to read the store. */
    getPollMs(): number {
        return pollMs;
    }

    /** Milliseconds until the proof must be renewed that may be as old as a share of the bound. */
    private computeProofLeftMs({ ageMs, blockedMs }: ProofState, share: number): number {
        const { isStrict, maxAgeMs } = this.options.getBounds();
        return isStrict ? Math.max(blockedMs, share * maxAgeMs - ageMs) : Infinity;
    }
}
