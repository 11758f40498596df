import type { RandomSource } from "../../src/core/random_source.ts";
import type { Timers } from "../../src/core/timers.ts";
import type { UpstreamClient } from "../../src/dispatch/upstream_client.ts";
import type { UpstreamResult } from "../../src/dispatch/upstream_result.ts";
import { UpstreamResultKind } from "../../src/dispatch/upstream_result_kind.ts";
import type { OwnerRequest } from "../../src/queue/owner_request.ts";
import type { VirtualTime } from "../fakes/virtual_time.ts";

/** Each upstream decides at this interval whether it has a spell, with this probability. */
const faultPeriodMs = 9_000;
const faultyPeriodShare = 0.3;
/** Shares of requests that fail at once during a spell and otherwise. */
const faultyFailureShare = 0.85;
const healthyFailureShare = 0.012;
/** Milliseconds of a failure before any work, and spread of service times: deviation of their logarithm. */
const immediateFailureMs = 3;
const logServiceDeviation = 0.6;

interface Options {
    readonly time: VirtualTime & Timers;
    readonly random: RandomSource;
    readonly durationMs: number;
    /** Share of the requests that fail after they were worked on, because of another service. */
    readonly lateFailureShare: number;
}

/** Upstream of a service in which, at any time, part of the upstreams fail most requests. */
export class IntermittentUpstream implements UpstreamClient {
    /** Starts and ends of spells in virtual milliseconds. */
    readonly faultPeriods: (readonly [number, number])[] = [];
    readonly arrivalsMs: number[] = [];

    constructor(private readonly options: Options) {
        const { durationMs, random } = options;
        for (
            let startMs = -faultPeriodMs * random.getFloat();
            startMs < durationMs;
            startMs += faultPeriodMs
        ) {
            if (random.getFloat() < faultyPeriodShare) {
                this.faultPeriods.push([startMs, startMs + faultPeriodMs]);
            }
        }
    }

    send({ route }: OwnerRequest, timeoutMs: number, signal: AbortSignal): Promise<UpstreamResult> {
        const { lateFailureShare, random, time } = this.options;
        const nowMs = time.getMonotonicMs();
        this.arrivalsMs.push(nowMs);
        if (random.getFloat() < (this.hasFault(nowMs, nowMs) ? faultyFailureShare : healthyFailureShare)) {
            return this.waitForEnd(immediateFailureMs, 500);
        }
        const normal = Math.sqrt(-2 * Math.log(1 - random.getFloat())) *
            Math.cos(2 * Math.PI * random.getFloat());
        const serviceMs = route.serviceMs * Math.exp(logServiceDeviation * normal);
        const status = random.getFloat() < lateFailureShare ? 500 : 200;
        return Promise.race([
            this.waitForEnd(Math.min(serviceMs, timeoutMs), serviceMs > timeoutMs ? undefined : status),
            new Promise<UpstreamResult>(resolve => {
                signal.addEventListener("abort", () => resolve(buildResult(UpstreamResultKind.Cancelled)));
            }),
        ]);
    }

    close(): Promise<void> {
        return Promise.resolve();
    }

    /** True when a spell touches the span. */
    hasFault(fromMs: number, toMs: number): boolean {
        return this.faultPeriods.some(([startMs, endMs]) => startMs <= toMs && fromMs < endMs);
    }

    countArrivals(fromMs: number, toMs: number): number {
        return this.arrivalsMs.filter(atMs => atMs >= fromMs && atMs < toMs).length;
    }

    /** Without a status, the request is given up. */
    private waitForEnd(delayMs: number, status: number | undefined): Promise<UpstreamResult> {
        return new Promise(resolve =>
            this.options.time.start(
                delayMs,
                () =>
                    resolve(
                        status === undefined
                            ? buildResult(UpstreamResultKind.TimedOut)
                            : buildResult(UpstreamResultKind.Answered, status),
                    ),
            )
        );
    }
}

function buildResult(kind: UpstreamResultKind, status?: number): UpstreamResult {
    const answer = status === undefined ? undefined : { status, headers: [], body: new Uint8Array() };
    return { kind, answer, detail: kind };
}
