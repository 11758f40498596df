import type { RevocationBounds } from "../authenticate/revocation_bounds.ts";
import type { ConfigClaim } from "../beacon/config_claim.ts";
import type { ProofExchange } from "../beacon/proof_exchange.ts";
import type { ActiveConfigReader } from "../config/active_config_reader.ts";
import type { Clock } from "../core/clock.ts";
import type { ConfigProof } from "./config_proof.ts";

interface Options {
    readonly clock: Clock;
    readonly configs: ActiveConfigReader;
    readonly proof: ConfigProof;
    readonly getBounds: () => RevocationBounds;
}

/**
 * Fraction of the bound on the age of the proof after which another daemon is asked for a newer one. In a calm failure
 * domain a watch of the store ends every 2.2 s, so that two questions for each of them suffice.
 */
const dueShare = 0.4;

/** Exchanges the proof of one daemon with others where the bounds are strict. */
export class ConfigProofExchange implements ProofExchange {
    constructor(private readonly options: Options) {}

    isStrict(): boolean {
        return this.options.getBounds().isStrict;
    }

    getClaim(): ConfigClaim | undefined {
        const version = this.options.configs.getActive()?.version;
        const ageMs = this.getAgeMs();
        return this.isStrict() && version !== undefined && Number.isFinite(ageMs)
            ? { version, ageMs }
            : undefined;
    }

    isDue(): boolean {
        const { isStrict, maxAgeMs } = this.options.getBounds();
        return isStrict && this.getAgeMs() > dueShare * maxAgeMs;
    }

    recordClaim({ ageMs, version }: ConfigClaim, askedAtMs: number): void {
        this.options.proof.recordClaim({ version, provedMs: askedAtMs - ageMs });
    }

    private getAgeMs(): number {
        return Math.max(0, this.options.clock.getMonotonicMs() - this.options.proof.getProvedMs());
    }
}
