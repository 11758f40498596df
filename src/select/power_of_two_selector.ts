/**
 * Selection of one upstream for each attempt.
 *
 * @example
 * ```ts
 * const selected = selector.select(request, 1, new Set());
 * if (selected.isOk()) {
 *     selector.recordStart(selected.value);
 *     const reply = await forwarder.forward(selected.value, signal);
 *     selector.recordReply(selected.value, reply, roundTripMs);
 * }
 * ```
 *
 * @module
 */
import { err, ok, type Result } from "neverthrow";
import { Code } from "../core/code.ts";
import { createFailure } from "../core/create_failure.ts";
import type { Failure } from "../core/failure.ts";
import type { OwnerReply } from "../forward/owner_reply.ts";
import type { RoutedRequest } from "../route/routed_request.ts";
import { ObservedLoad } from "./observed_load.ts";
import { selectByLoad } from "./select_by_load.ts";
import type { SelectedRequest } from "./selected_request.ts";
import type { SelectorOptions } from "./selector_options.ts";
import type { UpstreamSelector } from "./upstream_selector.ts";

/** Selects by the power of two choices among the upstreams of the service. */
export class PowerOfTwoSelector implements UpstreamSelector {
    private readonly loads = new Map<string, ObservedLoad>();

    constructor(private readonly options: SelectorOptions) {}

    select(
        request: RoutedRequest,
        attempt: number,
        excluded: ReadonlySet<string>,
    ): Result<SelectedRequest, Failure> {
        const members = this.options.membership.list(request.service.name);
        const nowMs = this.options.clock.getMonotonicMs();
        const upstream = selectByLoad(members.filter(member => !excluded.has(member.id)), {
            random: this.options.random,
            failureDomain: this.options.failureDomain,
            region: this.options.region,
            getLoad: candidate => this.getLoad(candidate.id).measure(nowMs),
            getWeight: () => 1,
        });
        return upstream === undefined
            ? err(createFailure(Code.NoUpstream))
            : ok({ ...request, attempt, upstream, baselineMs: 0, trial: false });
    }

    recordStart(selected: SelectedRequest): void {
        this.getLoad(selected.upstream.id).addRequest();
    }

    recordReply(selected: SelectedRequest, reply: OwnerReply, _roundTripMs: number): void {
        const load = this.getLoad(selected.upstream.id);
        load.removeRequest();
        if (reply.upstream !== undefined) {
            load.update(reply.upstream, this.options.clock.getMonotonicMs());
        }
        if (reply.code === Code.OwnerLeaving) {
            this.options.leaving.setLeaving(selected.upstream.id, "reply");
        }
    }

    private getLoad(upstreamId: string): ObservedLoad {
        let load = this.loads.get(upstreamId);
        if (load === undefined) {
            load = new ObservedLoad();
            this.loads.set(upstreamId, load);
        }
        return load;
    }
}
