/**
 * Records evidence from the exchanges with upstreams, including those that have not ended. An upstream that
 * hangs would otherwise give its first evidence only at the deadlines of its requests.
 *
 * @example
 * ```ts
 * monitor.start(queuedRequest); // immediately before dispatch
 * monitor.record(dispatchedRequest); // in settle
 * ```
 *
 * @module
 */
import type { Clock } from "../core/clock.ts";
import type { Timer } from "../core/timer.ts";
import type { Timers } from "../core/timers.ts";
import type { DispatchedRequest } from "../dispatch/dispatched_request.ts";
import { UpstreamResultKind } from "../dispatch/upstream_result_kind.ts";
import type { OwnerRequest } from "../queue/owner_request.ts";
import { BaselineHistory } from "./baseline_history.ts";
import { createEvidence } from "./create_evidence.ts";
import type { EvidenceRecorder } from "./evidence_recorder.ts";
import type { PauseReader } from "./pause_reader.ts";

/**
 * Multiples of the baseline at which an exchange that has not ended counts as slow, once for each. Three
 * hanging requests, one in each slot, then raise the alarm, and a single one does not. An upstream that is
 * five times slower than normal rarely reaches the second multiple, so that its answers count once.
 */
const overdueMultiples = [1, 3, 9];

interface Options {
    readonly clock: Clock;
    readonly timers: Timers;
    readonly evidence: EvidenceRecorder;
    readonly pauses: PauseReader;
}

interface Exchange {
    readonly request: OwnerRequest;
    readonly startedAtMs: number;
    /** Milliseconds; 0 when no entry daemon has sent one. */
    readonly baselineMs: number;
    timer: Timer | undefined;
    overdueCount: number;
}

/** Monitors the running exchanges of this owner. */
export class DispatchMonitor {
    private readonly exchanges = new Map<string, Exchange>();
    private readonly baselines = new BaselineHistory();

    constructor(private readonly options: Options) {}

    start(request: OwnerRequest): void {
        const startedAtMs = this.options.clock.getMonotonicMs();
        this.baselines.add(request.route.name, request.baselineMs, startedAtMs);
        const baselineMs = request.baselineMs > 0
            ? request.baselineMs
            : this.baselines.compute(request.route.name, startedAtMs) || request.route.targetMs;
        const exchange: Exchange = { request, startedAtMs, baselineMs, timer: undefined, overdueCount: 0 };
        this.exchanges.set(formatKey(request), exchange);
        if (baselineMs > 0) {
            this.startTimer(exchange, baselineMs);
        }
    }

    /**
     * Ends the exchange and records its evidence. Slowness that was recorded while it ran is not counted
     * twice.
     */
    record(request: DispatchedRequest): void {
        const key = formatKey(request);
        const exchange = this.exchanges.get(key);
        this.exchanges.delete(key);
        exchange?.timer?.close();
        const atMs = this.options.clock.getMonotonicMs();
        const startedAtMs = exchange?.startedAtMs ?? atMs - request.serviceMs;
        const pausedMs = this.options.pauses.measurePausedMs(startedAtMs, atMs);
        const evidence = createEvidence(request, { atMs, pausedMs });
        if (evidence === undefined) {
            return;
        }
        const baselineMs = exchange?.baselineMs ?? request.baselineMs;
        if (exchange === undefined || exchange.overdueCount === 0) {
            this.options.evidence.record({ ...evidence, baselineMs });
        }
        else if (!evidence.expected && evidence.kind !== UpstreamResultKind.TimedOut) {
            this.options.evidence.record({ ...evidence, baselineMs: 0 });
        }
    }

    close(): void {
        for (const exchange of this.exchanges.values()) {
            exchange.timer?.close();
        }
        this.exchanges.clear();
    }

    private startTimer(exchange: Exchange, delayMs: number): void {
        exchange.timer = this.options.timers.start(delayMs, () => this.checkOverdue(exchange));
    }

    private checkOverdue(exchange: Exchange): void {
        const { request, startedAtMs, baselineMs } = exchange;
        const atMs = this.options.clock.getMonotonicMs();
        const pausedMs = this.options.pauses.measurePausedMs(startedAtMs, atMs);
        const dueMs = baselineMs * (overdueMultiples[exchange.overdueCount] ?? Number.POSITIVE_INFINITY);
        const serviceMs = atMs - startedAtMs - pausedMs;
        if (serviceMs < dueMs) {
            // At least one millisecond, because a rounding difference would restart the timer endlessly.
            this.startTimer(exchange, Math.max(1, dueMs - serviceMs));
            return;
        }
        exchange.overdueCount += 1;
        this.options.evidence.record({
            upstreamId: request.upstreamId,
            service: request.service.name,
            kind: UpstreamResultKind.TimedOut,
            expected: false,
            // The answer is still outstanding, so the service time counts as above the baseline.
            serviceMs: Math.max(serviceMs, baselineMs + 1),
            baselineMs,
            trial: request.trial,
            atMs,
        });
        const nextMultiple = overdueMultiples[exchange.overdueCount];
        if (nextMultiple !== undefined) {
            this.startTimer(exchange, baselineMs * nextMultiple - serviceMs);
        }
    }
}

function formatKey(request: OwnerRequest): string {
    return `${request.requestId}/${request.attempt}`;
}
