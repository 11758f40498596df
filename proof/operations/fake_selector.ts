import { err, ok, type Result } from "neverthrow";
import { Code } from "../../src/core/code.ts";
import { createFailure } from "../../src/core/create_failure.ts";
import type { Failure } from "../../src/core/failure.ts";
import type { RandomSource } from "../../src/core/random_source.ts";
import type { Upstream } from "../../src/core/upstream.ts";
import type { OwnerUpstreamReader } from "../../src/operations/owner_upstream_reader.ts";
import type { UpstreamPreference } from "../../src/operations/upstream_preference.ts";
import type { RoutedRequest } from "../../src/route/routed_request.ts";
import type { SelectedRequest } from "../../src/select/selected_request.ts";
import type { UpstreamSelector } from "../../src/select/upstream_selector.ts";

/** Selects at random, avoiding the upstreams that the run has ejected. */
export class FakeSelector implements UpstreamSelector, UpstreamPreference, OwnerUpstreamReader {
    private readonly ejected = new Set<string>();

    constructor(private readonly upstreams: readonly Upstream[], private readonly random: RandomSource) {}

    select(
        request: RoutedRequest,
        attempt: number,
        excluded: ReadonlySet<string>,
    ): Result<SelectedRequest, Failure> {
        const free = this.upstreams.filter(upstream => !excluded.has(upstream.id));
        const preferred = free.filter(upstream => this.isPreferred(upstream));
        const candidates = preferred.length > 0 ? preferred : free;
        const upstream = candidates[Math.floor(this.random.getFloat() * candidates.length)];
        return upstream === undefined
            ? err(createFailure(Code.NoUpstream))
            : ok({ ...request, attempt, upstream, baselineMs: 0, trial: false });
    }

    list(ownerId: string): readonly Upstream[] {
        return this.upstreams.filter(upstream => upstream.ownerId === ownerId);
    }

    isPreferred(upstream: Upstream): boolean {
        return !this.ejected.has(upstream.id);
    }

    setEjected(upstreamId: string, ejected: boolean): void {
        if (ejected) {
            this.ejected.add(upstreamId);
        }
        else {
            this.ejected.delete(upstreamId);
        }
    }

    recordUnconfirmed(): void {}

    recordStart(): void {}

    recordReply(): void {}
}
