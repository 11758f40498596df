/**
 * Decides whether a request with a key may run, by the age of the proof that the configuration in force is the newest.
 * Answers the load of a daemon that has lost the platform or was stopped for a while, whose callers use keys that
 * operators may have removed meanwhile.
 *
 * @example
 * ```ts
 * const guard = new RevocationGuard({ proof, getBounds });
 * guard.decide(table.has(key), clock.getMonotonicMs()); // AuthenticationKind.Accepted
 * ```
 *
 * @module
 */
import { AuthenticationKind } from "./authentication_kind.ts";
import type { ConfigProofReader } from "./config_proof_reader.ts";
import type { RevocationBounds } from "./revocation_bounds.ts";

interface Options {
    readonly proof: ConfigProofReader;
    readonly getBounds: () => RevocationBounds;
}

/** Milliseconds of the bound that are left for clocks of different speed and for timers that end early. */
const marginMs = 100;
/** Longest time in milliseconds between two reads of the store that a daemon without a proof makes. */
const retryAfterMs = 1_000;

/** Refuses keys, known or not, while the configuration may have been replaced for longer than the bound. */
export class RevocationGuard {
    constructor(private readonly options: Options) {}

    /**
     * Decides about a key that the configuration in force has or lacks, at a monotonic time in milliseconds. A key that
     * it lacks may have been added since, so the caller must not be told that it is unknown without a proof.
     */
    decide(isKnownKey: boolean, nowMs: number): AuthenticationKind {
        if (!this.isProved(nowMs)) {
            return AuthenticationKind.Unproved;
        }
        if (isKnownKey) {
            return AuthenticationKind.Accepted;
        }
        const { applyMs, isStrict } = this.options.getBounds();
        // Without a strict bound, daemons neither exchange nor renew proofs.
        const isFresh = !isStrict || this.getAgeMs(nowMs) <= applyMs;
        return isFresh ? AuthenticationKind.UnknownKey : AuthenticationKind.Unproved;
    }

    /** Milliseconds after which a caller whose key was refused without a proof may return. */
    getRetryAfterMs(): number {
        return retryAfterMs;
    }

    private isProved(nowMs: number): boolean {
        const { isStrict, maxAgeMs } = this.options.getBounds();
        return !isStrict || this.getAgeMs(nowMs) <= maxAgeMs - marginMs;
    }

    private getAgeMs(nowMs: number): number {
        return nowMs - this.options.proof.getProvedMs();
    }
}
