/**
 * State of the daemon and its graceful shutdown (drain).
 *
 * @example
 * ```ts
 * const lifecycle = new Lifecycle({ clock, timers, audit, logger, metrics, graceMs: 5_000, limitMs: 60_000,
 *     getListeners: () => [callers, peers], queue, announcer });
 * lifecycle.setServing();
 * const request = lifecycle.registerRequest(RequestSource.Caller);
 * const result = await lifecycle.drain("operator");
 * ```
 *
 * @module
 */
import { err, ok, type Result } from "neverthrow";
import type { AuditSink } from "../audit/audit_sink.ts";
import type { Clock } from "../core/clock.ts";
import { Code } from "../core/code.ts";
import { createFailure } from "../core/create_failure.ts";
import type { Failure } from "../core/failure.ts";
import { LogLevel } from "../core/log_level.ts";
import type { Logger } from "../core/logger.ts";
import type { Metrics } from "../core/metrics.ts";
import type { Timers } from "../core/timers.ts";
import { DaemonState } from "./daemon_state.ts";
import type { DaemonStateReader } from "./daemon_state_reader.ts";
import type { DrainReport } from "./drain_report.ts";
import type { DrainableListener } from "./drainable_listener.ts";
import type { InFlightRequest } from "./in_flight_request.ts";
import type { LeavingAnnouncer } from "./leaving_announcer.ts";
import type { QueuedWorkReleaser } from "./queued_work_releaser.ts";
import { RequestSource } from "./request_source.ts";

interface Options {
    readonly clock: Clock;
    readonly timers: Timers;
    readonly audit: AuditSink;
    readonly logger: Logger;
    readonly metrics: Metrics;
    readonly queue: QueuedWorkReleaser;
    readonly announcer: LeavingAnnouncer;
    /**
     * Called after the grace period. The listeners are stopped in this order and closed concurrently, because
     * a port closes only after the links that were accepted on it, and each kind of listener closes its own
     * links.
     */
    readonly getListeners: () => readonly DrainableListener[];
    /** Milliseconds for which callers are still accepted while other daemons are informed of the drain. */
    readonly graceMs: number;
    /**
     * Milliseconds after which the drain is reported as late. Requests that are still in flight are not
     * aborted. Each has a deadline, so the limit should exceed `graceMs` plus the longest deadline of a
     * route.
     */
    readonly limitMs: number;
    /**
     * Milliseconds after the start of a drain at which the daemon itself answers the callers that still wait,
     * because its process is about to end; absent when the process ends only after its last request.
     */
    readonly answerDeadlineMs?: number | undefined;
    /**
     * Milliseconds without a new request after which the listeners close; the default is 0. When a listener
     * closes, the kernel resets connections that wait to be accepted, so it closes only after callers have
     * moved to other daemons.
     */
    readonly quietMs?: number;
}

interface RequestRecord {
    readonly source: RequestSource;
    /** Monotonic milliseconds. */
    readonly startMs: number;
    /** Ends the wait of the request with an answer that the daemon generates itself. */
    readonly answer: (() => void) | undefined;
}

/** Tracks the requests in flight and runs the drain. */
export class Lifecycle implements DaemonStateReader {
    private state: DaemonState = DaemonState.Starting;
    private readonly inFlight = new Set<RequestRecord>();
    private received = 0;
    private answered = 0;
    private refusing = false;
    private lastArrivalMs = -Infinity;
    private draining: Promise<DrainReport> | undefined;
    private onIdle: (() => void) | undefined;

    constructor(private readonly options: Options) {}

    getState(): DaemonState {
        return this.state;
    }

    /** Counts the requests from callers and other daemons that have not been answered completely. */
    countInFlight(): number {
        return this.inFlight.size;
    }

    /** Has an effect only on a daemon that is starting. */
    setServing(): void {
        if (this.state === DaemonState.Starting) {
            this.setState(DaemonState.Serving, "started");
        }
    }

    /**
     * Counts one request as in flight; undefined when the daemon has closed. Close the returned request when
     * the last byte of the answer has been written to the connection. `answer` is called when the request
     * must not wait any longer.
     */
    registerRequest(source: RequestSource, answer?: () => void): InFlightRequest | undefined {
        if (this.state === DaemonState.Closed) {
            return undefined;
        }
        const startMs = this.options.clock.getMonotonicMs();
        const request = { source, startMs, answer };
        this.inFlight.add(request);
        this.received += 1;
        this.lastArrivalMs = startMs;
        this.options.metrics.setGauge("lifecycle.in_flight", this.inFlight.size);
        return { close: answered => this.removeRequest(request, answered) };
    }

    /** True after the grace period of a drain: callers are refused as not-executed, to retry elsewhere. */
    isRefusing(): boolean {
        return this.refusing;
    }

    /** Call for each refused request. */
    recordRefusal(): void {
        this.lastArrivalMs = this.options.clock.getMonotonicMs();
        this.options.metrics.addCount("lifecycle.refused");
    }

    /** Starts the drain and resolves when the daemon has closed. Further calls join the first. */
    waitForClose(cause: string): Promise<DrainReport> {
        this.draining ??= this.runDrain(cause);
        return this.draining;
    }

    /** Starts the drain; fails with `DrainTimeout` at the time limit, while the drain itself continues. */
    drain(cause: string): Promise<Result<DrainReport, Failure>> {
        const report = this.waitForClose(cause);
        return new Promise(resolve => {
            const timer = this.options.timers.start(this.options.limitMs, () => {
                const detail =
                    `${this.inFlight.size} requests are still in flight after ${this.options.limitMs} ms`;
                this.options.logger.write(LogLevel.Error, "drain_late", {
                    code: Code.DrainTimeout,
                    detail,
                    ...this.countRequests(),
                });
                this.options.metrics.addCount("lifecycle.drain_late");
                resolve(err(createFailure(Code.DrainTimeout, { detail })));
            });
            void report.then(finished => {
                timer.close();
                resolve(ok(finished));
            });
        });
    }

    private async runDrain(cause: string): Promise<DrainReport> {
        const startMs = this.options.clock.getMonotonicMs();
        const inFlight = this.inFlight.size;
        this.setState(DaemonState.Draining, cause);
        this.options.announcer.sendLeaving();
        this.startAnswerTimer();
        const released = this.options.queue.releaseQueued();
        await this.waitMs(this.options.graceMs);
        this.refusing = true;
        this.lastArrivalMs = this.options.clock.getMonotonicMs();
        await this.waitForQuiet(startMs);
        const listeners = this.options.getListeners();
        for (const listener of listeners) {
            listener.stop();
        }
        await this.waitForIdle();
        this.setState(DaemonState.Closed, cause);
        await Promise.all(listeners.map(listener => listener.close()));
        const durationMs = this.options.clock.getMonotonicMs() - startMs;
        this.options.logger.write(LogLevel.Info, "drain_finished", {
            released,
            inFlight,
            durationMs,
            ...this.countRequests(),
        });
        return { released, inFlight, durationMs };
    }

    /**
     * Answers waiting callers before the process ends. A finished answer may be queued on its connection
     * behind an unfinished one, and would be lost with the process.
     */
    private startAnswerTimer(): void {
        const { answerDeadlineMs, logger, timers } = this.options;
        if (answerDeadlineMs === undefined) {
            return;
        }
        timers.start(answerDeadlineMs, () => {
            const waiting = [...this.inFlight].filter(({ answer }) => answer !== undefined);
            if (waiting.length > 0) {
                logger.write(LogLevel.Warn, "drain_answers", this.countRequests());
            }
            waiting.forEach(({ answer }) => answer?.());
        });
    }

    private waitMs(durationMs: number): Promise<void> {
        return new Promise(resolve => void this.options.timers.start(durationMs, resolve));
    }

    /** Returns at the time limit of the drain even when new requests keep arriving. */
    private async waitForQuiet(startMs: number): Promise<void> {
        const { clock, limitMs, quietMs = 0 } = this.options;
        await this.waitForIdle();
        for (;;) {
            const nowMs = clock.getMonotonicMs();
            const remainingMs = Math.min(this.lastArrivalMs + quietMs, startMs + limitMs) - nowMs;
            if (remainingMs <= 0) {
                return;
            }
            await this.waitMs(remainingMs);
        }
    }

    private async waitForIdle(): Promise<void> {
        while (this.inFlight.size > 0) {
            await new Promise<void>(resolve => {
                this.onIdle = resolve;
            });
        }
    }

    private removeRequest(request: RequestRecord, answered: boolean): void {
        if (!this.inFlight.delete(request)) {
            return;
        }
        const { clock, logger, metrics } = this.options;
        metrics.setGauge("lifecycle.in_flight", this.inFlight.size);
        if (answered) {
            this.answered += 1;
        }
        else {
            metrics.addCount("lifecycle.unanswered", { source: request.source });
        }
        if (!answered && this.state !== DaemonState.Serving) {
            const ageMs = Math.round(clock.getMonotonicMs() - request.startMs);
            logger.write(LogLevel.Warn, "request_unanswered", { source: request.source, ageMs });
        }
        if (this.inFlight.size === 0) {
            this.onIdle?.();
        }
    }

    /** Counts the requests since the start of the daemon, and those in flight by source. */
    private countRequests() {
        const open = [...this.inFlight];
        const nowMs = this.options.clock.getMonotonicMs();
        const callers = open.filter(({ source }) => source === RequestSource.Caller).length;
        return {
            received: this.received,
            answered: this.answered,
            unanswered: this.received - this.answered - open.length,
            callers,
            daemons: open.length - callers,
            oldestMs: Math.round(Math.max(0, ...open.map(({ startMs }) => nowMs - startMs))),
        };
    }

    private setState(state: DaemonState, cause: string): void {
        const before = this.state;
        this.state = state;
        this.options.logger.write(LogLevel.Info, "state_changed", { before, after: state, cause });
        this.options.audit.record({
            change: state === DaemonState.Draining ? "drain" : "state",
            subject: "daemon",
            before,
            after: state,
            cause,
            version: 0,
        });
    }
}
