import type { Answer } from "../../src/core/answer.ts";
import type { RandomSource } from "../../src/core/random_source.ts";
import type { Timers } from "../../src/core/timers.ts";
import type { UpstreamResult } from "../../src/dispatch/upstream_result.ts";
import { UpstreamResultKind } from "../../src/dispatch/upstream_result_kind.ts";
import type { OwnerRequest } from "../../src/queue/owner_request.ts";
import { FaultKind } from "./fault_kind.ts";

/** Relative increase of the service time when all slots are busy. */
const contention = 0.5;

/** Fake upstream with faults and a lognormal service time with the route's as its median. */
export class FakeUpstream {
    fault: FaultKind = FaultKind.None;
    faultSinceMs = 0;
    /** Factor by which a slow common dependency lengthens the service time. */
    dependencyFactor = 1;
    private running = 0;

    constructor(
        private readonly random: RandomSource,
        private readonly timers: Timers,
        private readonly slots: number,
        /** Standard deviation of the logarithm of the service time. */
        private readonly serviceTimeSigma: number,
    ) {}

    /** `nowMs` is the virtual time; calls `finish` once. */
    run(
        request: OwnerRequest,
        nowMs: number,
        timeoutMs: number,
        finish: (result: UpstreamResult) => void,
    ): void {
        const fault = this.getActiveFault(nowMs);
        if (fault === FaultKind.Refused) {
            this.timers.start(1, () => finish(buildResult(UpstreamResultKind.NotSent)));
            return;
        }
        this.running += 1;
        const busyShare = (this.running - 1) / Math.max(1, this.slots - 1);
        const normal = Math.sqrt(-2 * Math.log(1 - this.random.getFloat())) *
            Math.cos(2 * Math.PI * this.random.getFloat());
        const serviceMs = fault === FaultKind.Hanging
            ? Number.POSITIVE_INFINITY
            : request.route.serviceMs * Math.exp(this.serviceTimeSigma * normal) *
                (1 + contention * busyShare)
                * this.dependencyFactor * (fault === FaultKind.Slow ? 5 : 1);
        const handleEnd = (result: UpstreamResult): void => {
            this.running -= 1;
            finish(result);
        };
        if (serviceMs > timeoutMs) {
            this.timers.start(timeoutMs, () => handleEnd(buildResult(UpstreamResultKind.TimedOut)));
            return;
        }
        const answer: Answer = {
            status: fault === FaultKind.WrongStatus ? 500 : 200,
            headers: [{
                name: "content-type",
                value: fault === FaultKind.WrongContent ? "text/html" : "application/json",
            }],
            body: new Uint8Array(),
        };
        this.timers.start(serviceMs, () => handleEnd(buildResult(UpstreamResultKind.Answered, answer)));
    }

    private getActiveFault(nowMs: number): FaultKind {
        const isOn = Math.floor((nowMs - this.faultSinceMs) / 3_000) % 2 === 0;
        switch (this.fault) {
            case FaultKind.FlappingSlow:
                return isOn ? FaultKind.Slow : FaultKind.None;
            case FaultKind.FlappingStatus:
                return isOn ? FaultKind.WrongStatus : FaultKind.None;
            case FaultKind.HalfBad:
                return this.random.getFloat() < 0.5 ? FaultKind.WrongStatus : FaultKind.None;
            case FaultKind.HalfSlow:
                return this.random.getFloat() < 0.5 ? FaultKind.Slow : FaultKind.None;
            default:
                return this.fault;
        }
    }
}

function buildResult(kind: UpstreamResult["kind"], answer?: Answer): UpstreamResult {
    return { kind, answer, detail: kind };
}
