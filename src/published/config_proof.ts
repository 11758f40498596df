/**
 * Until which moment the configuration in force in this daemon is proved to be the newest one.
 *
 * An answer of the platform's store proves it for a moment of its call. The claim of another daemon names the version
 * that was the newest at some moment, and proves it here when that version, or a later one, is in force.
 *
 * @example
 * ```ts
 * const proof = new ConfigProof({ getVersion: () => configs.getActive()?.version });
 * proof.recordAnswer(callStartMs);
 * proof.recordClaim({ version: 7, provedMs: probeSentMs - claim.ageMs });
 * proof.getProvedMs();
 * ```
 *
 * @module
 */
import type { ConfigProofReader } from "../authenticate/config_proof_reader.ts";

interface Options {
    /** Version of the configuration in force; undefined when there is none. */
    readonly getVersion: () => number | undefined;
}

interface ProvedVersion {
    readonly version: number;
    /** Monotonic milliseconds at which no later version existed. */
    readonly provedMs: number;
}

/**
 * Milliseconds in which operators write again what a store lost that came back from an older copy. The platform
 * states two seconds for upstreams; until then the store's configuration may be an older one.
 */
const rewriteMs = 2_000;

/** Combines the answers of the store to this daemon with the claims of other daemons. */
export class ConfigProof implements ConfigProofReader {
    private provedMs = -Infinity;
    /** Answers that hold for an earlier moment may describe a store that lacks its newest values. */
    private notBeforeMs = -Infinity;
    private isCurrent = true;
    /** Newest claim about a version that is not in force yet. */
    private pending: ProvedVersion | undefined;

    constructor(private readonly options: Options) {}

    getProvedMs(): number {
        return this.provedMs;
    }

    /** Milliseconds for which answers of the store prove nothing; infinite while it lacks a
     * configuration that can be in force. */
    getBlockedMs(nowMs: number): number {
        return this.isCurrent ? Math.max(0, this.notBeforeMs - nowMs) : Infinity;
    }

    /** Records an answer of the store that holds for a monotonic time, after its changes were put in force. */
    recordAnswer(heldMs: number): void {
        if (this.isCurrent && heldMs >= this.notBeforeMs) {
            this.provedMs = Math.max(this.provedMs, heldMs);
        }
    }

    /** Records that a version was the newest at a moment, by the claim of another daemon. */
    recordClaim(claim: ProvedVersion): void {
        const version = this.options.getVersion();
        if (version !== undefined && claim.version <= version) {
            this.provedMs = Math.max(this.provedMs, claim.provedMs);
        }
        else if (claim.provedMs > (this.pending?.provedMs ?? -Infinity)) {
            this.pending = claim;
        }
    }

    /**
     * Must be called after changes were put in force; `isCurrent` is false when the store's configuration is not the
     * one in force.
     */
    recordApplied(isCurrent: boolean): void {
        this.isCurrent = isCurrent;
        const { pending } = this;
        if (pending !== undefined) {
            this.pending = undefined;
            this.recordClaim(pending);
        }
    }

    /** Records at a monotonic time that the store came back from an older copy. */
    recordLoss(nowMs: number): void {
        this.notBeforeMs = nowMs + rewriteMs;
    }
}
