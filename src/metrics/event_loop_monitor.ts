/**
 * Reports delays of the event loop and processor usage, so that a daemon that gets too little processor time
 * can be distinguished from a slow upstream.
 *
 * @example
 * ```ts
 * const monitor = new EventLoopMonitor({ clock, timers, logger, metrics, delays, usage, activity,
 *     memory, countInFlight });
 * monitor.start();
 * monitor.close();
 * ```
 *
 * @module
 */
import type { Clock } from "../core/clock.ts";
import { LogLevel } from "../core/log_level.ts";
import type { Logger } from "../core/logger.ts";
import type { Metrics } from "../core/metrics.ts";
import type { Timer } from "../core/timer.ts";
import type { Timers } from "../core/timers.ts";
import type { EventLoopDelayReader } from "./event_loop_delay_reader.ts";
import type { IoActivityCounter } from "./io_activity_counter.ts";
import type { ProcessUsage } from "./process_usage.ts";
import type { ProcessUsageReader } from "./process_usage_reader.ts";

/** Milliseconds between readings and at least between log lines: the shortest window of any target. */
const periodMs = 2_000;

/** Delay in milliseconds from which a period is logged: twice the interval of the delay measurement. */
const delayLogThresholdMs = 100;

/** Utilization of the event loop from which a period is logged; above it, events queue up at small peaks. */
const utilizationLogThreshold = 0.9;

interface Options {
    readonly clock: Clock;
    readonly timers: Timers;
    readonly logger: Logger;
    readonly metrics: Metrics;
    readonly delays: EventLoopDelayReader;
    readonly usage: ProcessUsageReader;
    readonly activity: IoActivityCounter;
    readonly memory: { reportCharges(): void; };
    /** Number of requests whose answer is not complete. */
    readonly countInFlight: () => number;
}

/** Takes one reading per period and writes at most one log line for it. */
export class EventLoopMonitor {
    private timer: Timer | undefined;
    private readAtMs = 0;
    private usage: ProcessUsage = { processorMs: 0, loopActiveMs: 0, preemptions: 0 };

    constructor(private readonly options: Options) {}

    start(): void {
        const { activity, clock, delays, usage } = this.options;
        this.readAtMs = clock.getMonotonicMs();
        this.usage = usage.getUsage();
        delays.takeDelays();
        activity.takeCounts();
        this.startTimer();
    }

    close(): void {
        this.timer?.close();
    }

    private startTimer(): void {
        this.timer = this.options.timers.start(periodMs, () => {
            this.report();
            this.startTimer();
        });
    }

    private report(): void {
        const { activity, clock, countInFlight, delays, logger, metrics, usage } = this.options;
        const nowMs = clock.getMonotonicMs();
        const wallMs = nowMs - this.readAtMs;
        const used = usage.getUsage();
        const processorMs = used.processorMs - this.usage.processorMs;
        const preemptions = used.preemptions - this.usage.preemptions;
        const utilization = (used.loopActiveMs - this.usage.loopActiveMs) / wallMs;
        const { largestMs, meanMs } = delays.takeDelays();
        const counts = activity.takeCounts();
        this.readAtMs = nowMs;
        this.usage = used;
        metrics.recordTime("loop.delay", largestMs);
        metrics.setGauge("loop.delay_mean", meanMs);
        metrics.setGauge("loop.utilization", utilization);
        metrics.setGauge("processor.share", processorMs / wallMs);
        this.options.memory.reportCharges();
        if (largestMs < delayLogThresholdMs && utilization < utilizationLogThreshold) {
            return;
        }
        logger.write(LogLevel.Warn, "loop_delayed", {
            largestMs: Math.round(largestMs),
            meanMs: Math.round(meanMs),
            utilization: Number(utilization.toFixed(2)),
            processorMs: Math.round(processorMs),
            wallMs: Math.round(wallMs),
            preemptions,
            inFlight: countInFlight(),
            ...counts,
        });
    }
}
