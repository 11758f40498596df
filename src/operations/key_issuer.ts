/**
 * Issues idempotency keys without a message between daemons.
 *
 * @example
 * ```ts
 * const issuer = new KeyIssuer({ owners, clock, random });
 * const key = issuer.create("payments");
 * ```
 *
 * @module
 */
import { err, ok, type Result } from "neverthrow";
import type { Clock } from "../core/clock.ts";
import { Code } from "../core/code.ts";
import { createFailure } from "../core/create_failure.ts";
import type { Failure } from "../core/failure.ts";
import type { RandomSource } from "../core/random_source.ts";
import { encodeKey } from "./encode_key.ts";
import type { KeyOwnerReader } from "./key_owner_reader.ts";

interface Options {
    readonly owners: KeyOwnerReader;
    readonly clock: Clock;
    readonly random: RandomSource;
    /** Validity in milliseconds; half of the owner's limit of 10 minutes; clocks may differ by 5 minutes. */
    readonly validMs?: number;
}

/** Issues keys, each for a randomly chosen owner of the service. */
export class KeyIssuer {
    constructor(private readonly options: Options) {}

    /** Fails with NoUpstream when no owner of the service is known. */
    create(service: string): Result<string, Failure> {
        const { owners, clock, random, validMs = 300_000 } = this.options;
        const known = owners.list(service);
        const owner = known[Math.floor(random.getFloat() * known.length)];
        if (owner === undefined) {
            return err(createFailure(Code.NoUpstream));
        }
        const nonce = Array.from({ length: 4 }, () => Math.floor(random.getFloat() * 2 ** 32).toString(36))
            .join(
                "-",
            );
        return ok(encodeKey({ ...owner, expiresAtMs: Math.floor(clock.getWallMs()) + validMs, nonce }));
    }
}
