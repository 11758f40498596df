import { err, ok, type Result } from "neverthrow";
import { Code } from "../core/code.ts";
import { createFailure } from "../core/create_failure.ts";
import type { Failure } from "../core/failure.ts";
import type { RoutedRequest } from "../route/routed_request.ts";
import type { BaselineReader } from "../select/baseline_reader.ts";
import type { IdempotencyKey } from "./idempotency_key.ts";
import type { KeyOwnerReader } from "./key_owner_reader.ts";
import type { KeyedSelection } from "./keyed_selection.ts";
import type { OwnerUpstreamReader } from "./owner_upstream_reader.ts";
import type { UpstreamPreference } from "./upstream_preference.ts";

interface Options {
    readonly upstreams: OwnerUpstreamReader;
    readonly owners: KeyOwnerReader;
    readonly preference: UpstreamPreference;
    readonly baselines: BaselineReader;
}

/**
 * Selects an upstream of the owner that a key names. Any upstream of that owner is allowed, because the
 * daemon keeps the record. An upstream of another owner is never allowed, because another entry daemon may
 * reach the first owner at the same time, and both would run the operation.
 */
export class KeyedSelector {
    constructor(private readonly options: Options) {}

    /** Fails with KeyOwnerUnknown when no upstream of the owner is known. */
    select(request: RoutedRequest, key: IdempotencyKey, attempt: number): Result<KeyedSelection, Failure> {
        const { upstreams, owners, preference, baselines } = this.options;
        const known = upstreams.list(key.ownerId, request.service.name);
        const preferred = known.find(upstream => preference.isPreferred(upstream));
        const upstream = preferred ?? known[0];
        if (upstream === undefined) {
            return err(createFailure(Code.KeyOwnerUnknown));
        }
        const baselineMs = baselines.getBaselineMs(request, upstream.id);
        const ownerIncarnation = owners.getIncarnation(key.ownerId);
        const selected = { ...request, attempt, upstream, baselineMs, trial: false, ownerIncarnation };
        return ok({ selected, preferred: preferred !== undefined });
    }
}
