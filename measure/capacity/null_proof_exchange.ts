import type { ProofExchange } from "../../src/beacon/proof_exchange.ts";

/** A platform without a bound on removed keys. */
export class NullProofExchange implements ProofExchange {
    isStrict(): boolean {
        return false;
    }

    getClaim(): undefined {
        return undefined;
    }

    isDue(): boolean {
        return false;
    }

    recordClaim(): void {}
}
