import type { ConfigClaim } from "./config_claim.ts";

/** Exchange of the proof that the configuration in force is the newest one. */
export interface ProofExchange {
    /** True when the platform bounds the time for which a removed key may be used. */
    isStrict(): boolean;
    /** What this daemon can tell others; undefined without a bound or a proof. */
    getClaim(): ConfigClaim | undefined;
    /** True when the proof is so old that another daemon should be asked for a newer one. */
    isDue(): boolean;
    /** Records the answer of another daemon to a question that was sent at a monotonic time in milliseconds. */
    recordClaim(claim: ConfigClaim, askedAtMs: number): void;
}
