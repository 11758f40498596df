/**
 * Tracks the saturation of services in the replies of owners.
 *
 * @example
 * ```ts
 * const saturation = new SaturationTable(clock, membership);
 * saturation.record(request.service, reply);
 * const saturated = saturation.isSaturated("accounts");
 * ```
 *
 * @module
 */
import type { ServiceConfig } from "../config/service_config.ts";
import type { Clock } from "../core/clock.ts";
import { Code } from "../core/code.ts";
import type { OwnerReply } from "../forward/owner_reply.ts";
import type { MembershipReader } from "../membership/membership_reader.ts";
import type { SaturationReader } from "./saturation_reader.ts";

/**
 * Codes with which an owner refuses a request because it cannot take more requests now. `WaitTooLong` is not
 * among them, because a short time budget alone can cause it.
 */
const saturationCodes: readonly Code[] = [Code.QueueFull, Code.OwnerOverloaded];
/** Age at which a reply no longer counts: the upstream may have recovered, so it may be tried again. */
const staleMs = 1_000;
/** Number of entries above which stale ones are removed. */
const maxEntries = 4_096;

/**
 * A service is saturated when each of its live upstreams reported saturation in its last reply, and no reply
 * is older than one second. A service with an upstream that this daemon knows nothing about never counts as
 * saturated.
 */
export class SaturationTable implements SaturationReader {
    /** Monotonic milliseconds of the last reply that reported saturation, for each upstream. */
    private readonly saturatedAtMs = new Map<string, number>();

    constructor(private readonly clock: Clock, private readonly membership: MembershipReader) {}

    record(service: ServiceConfig, reply: OwnerReply): void {
        const state = reply.upstream;
        if (state === undefined) {
            return;
        }
        const waitMs = Math.min(state.waitShortMs, state.waitLongMs);
        if (saturationCodes.includes(reply.code) || waitMs > service.limits.targetWaitMs) {
            this.saturatedAtMs.set(state.upstreamId, this.clock.getMonotonicMs());
            if (this.saturatedAtMs.size > maxEntries) {
                this.removeStale();
            }
        }
        else {
            this.saturatedAtMs.delete(state.upstreamId);
        }
    }

    isSaturated(service: string): boolean {
        const upstreams = this.membership.list(service);
        const oldestMs = this.clock.getMonotonicMs() - staleMs;
        return upstreams.length > 0
            && upstreams.every(({ id }) => (this.saturatedAtMs.get(id) ?? -Infinity) >= oldestMs);
    }

    /** Without this, upstreams that have left the instance list would stay for ever. */
    private removeStale(): void {
        const oldestMs = this.clock.getMonotonicMs() - staleMs;
        for (const [upstreamId, atMs] of this.saturatedAtMs) {
            if (atMs < oldestMs) {
                this.saturatedAtMs.delete(upstreamId);
            }
        }
    }
}
