import type { RandomSource } from "../../src/core/random_source.ts";
import type { Timers } from "../../src/core/timers.ts";
import type { UpstreamClient } from "../../src/dispatch/upstream_client.ts";
import type { UpstreamResult } from "../../src/dispatch/upstream_result.ts";
import { UpstreamResultKind } from "../../src/dispatch/upstream_result_kind.ts";
import type { OwnerRequest } from "../../src/queue/owner_request.ts";
import type { VirtualTime } from "../fakes/virtual_time.ts";

/** Each period of this length is faulty with this probability. */
const faultPeriodMs = 9_000;
const faultyPeriodShare = 0.3;
/** Shares of requests that fail immediately in a faulty period and otherwise. */
const faultyFailureShare = 0.85;
const healthyFailureShare = 0.012;
/**
 * Duration of an immediate failure in milliseconds, and standard deviation of the logarithm of service times.
 */
const immediateFailureMs = 3;
const logServiceDeviation = 0.6;

interface Options {
    readonly time: VirtualTime & Timers;
    readonly random: RandomSource;
    readonly durationMs: number;
    /** Share of the requests that fail after their service time, because of another service. */
    readonly lateFailureShare: number;
}

/**
 * Upstream that fails most requests in random periods, so that part of the upstreams is faulty at any time.
 */
export class IntermittentUpstream implements UpstreamClient {
    /** Starts and ends of faulty periods in virtual milliseconds. */
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
        const normalDeviate = Math.sqrt(-2 * Math.log(1 - random.getFloat())) *
            Math.cos(2 * Math.PI * random.getFloat());
        const serviceMs = route.serviceMs * Math.exp(logServiceDeviation * normalDeviate);
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

    /** Returns true when a faulty period overlaps the interval. */
    hasFault(fromMs: number, toMs: number): boolean {
        return this.faultPeriods.some(([startMs, endMs]) => startMs <= toMs && fromMs < endMs);
    }

    countArrivals(fromMs: number, toMs: number): number {
        return this.arrivalsMs.filter(atMs => atMs >= fromMs && atMs < toMs).length;
    }

    /** Without a status, the request times out. */
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
