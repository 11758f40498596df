/**
 * Callers that send payments and retry those whose outcome is unknown.
 *
 * @module
 */
import { EventKind } from "../../proof/event_kind.ts";
import type { HistoryEvent } from "../../proof/history_event.ts";
import { HistoryRecorder } from "../../proof/history_recorder.ts";
import type { Code } from "../../src/core/code.ts";
import { Outcome } from "../../src/core/outcome.ts";
import type { Fleet } from "../../standin/fleet.ts";
import { getMonotonicMs } from "../../standin/get_monotonic_ms.ts";

const REQUEST_TIMEOUT_MS = 800;
/** Longer than the time-out of the request, because the answer takes time to arrive. */
const CALLER_TIMEOUT_MS = 3_000;
const MAX_ATTEMPTS = 4;
const PAUSE_MS = 30;

interface PaymentAnswer {
    readonly outcome: Outcome | undefined;
    readonly code: Code | undefined;
    readonly content: string | undefined;
}

/** Runs callers until it is closed and records their requests and answers. */
export class PaymentLoad {
    private readonly recorder = new HistoryRecorder();
    private readonly callers: readonly Promise<void>[];
    private running = true;
    private sentCount = 0;

    constructor(private readonly fleet: Fleet, callers: number, private readonly hasKeys: boolean) {
        this.callers = Array.from({ length: callers }, (_, caller) => this.runCaller(caller));
    }

    /** Stops the callers and returns the events of callers and upstreams. */
    async close(): Promise<readonly HistoryEvent[]> {
        this.running = false;
        await Promise.all(this.callers);
        const executed = (await this.fleet.fetchHistory()).filter(record => record.phase === "executed");
        const upstreamEvents = executed.map(record => ({
            kind: EventKind.UpstreamExecuted,
            atMs: record.atMs,
            actor: record.upstreamId,
            operation: record.body,
            content: record.body,
        }));
        return [...this.recorder.list(), ...upstreamEvents];
    }

    private async runCaller(caller: number): Promise<void> {
        while (this.running) {
            const payment = `payment ${caller}-${this.sentCount += 1}`;
            const key = this.hasKeys ? await this.fetchKey(caller) : undefined;
            if (!this.hasKeys || key !== undefined) {
                await this.sendPayment(caller, payment, key);
            }
            await new Promise(resolve => setTimeout(resolve, PAUSE_MS));
        }
    }

    private async sendPayment(caller: number, payment: string, key: string | undefined): Promise<void> {
        // Without a key each request that arrives is an operation of its own, so such a payment is sent once.
        const maxAttempts = key === undefined ? 1 : MAX_ATTEMPTS;
        for (let attempt = 0; attempt < maxAttempts; attempt += 1) {
            const actor = `caller ${caller}`;
            const requestId = `${payment} attempt ${attempt}`;
            this.recorder.record({
                kind: EventKind.CallerSent,
                atMs: getMonotonicMs(),
                actor,
                requestId,
                operation: payment,
            });
            const answer = await this.sendAttempt(caller + attempt, payment, key);
            const atMs = getMonotonicMs();
            if (answer?.outcome !== undefined) {
                const { code, content, outcome } = answer;
                const answerEvent = { actor, requestId, operation: payment, outcome };
                this.recorder.record({
                    kind: EventKind.CallerAnswered,
                    atMs,
                    ...answerEvent,
                    ...(code === undefined ? {} : { code }),
                    ...(content === undefined ? {} : { content }),
                });
            }
            if (answer?.outcome === Outcome.Executed || answer?.outcome === Outcome.NotExecuted) {
                return;
            }
        }
    }

    /** Sends one request; undefined when the caller received no complete answer. */
    private async sendAttempt(
        daemonIndex: number,
        payment: string,
        key: string | undefined,
    ): Promise<PaymentAnswer | undefined> {
        const { daemons } = this.fleet;
        const headers: Record<string, string> = { "connect-timeout-ms": `${REQUEST_TIMEOUT_MS}` };
        if (key !== undefined) {
            headers["idempotency-key"] = key;
        }
        try {
            const response = await fetch(`${daemons[daemonIndex % daemons.length]!.callerUrl}/payments`, {
                method: "POST",
                headers,
                body: payment,
                signal: AbortSignal.timeout(CALLER_TIMEOUT_MS),
            });
            const body = await response.json() as { code?: Code; body?: string; };
            const outcome = response.headers.get("zinniaglade-outcome") as Outcome | undefined;
            return { outcome, code: body.code, content: response.ok ? body.body : undefined };
        }
        catch {
            return undefined;
        }
    }

    private async fetchKey(caller: number): Promise<string | undefined> {
        const { daemons } = this.fleet;
        try {
            const url = `${daemons[caller % daemons.length]!.callerUrl}/.zinniaglade/keys?service=payments`;
            const response = await fetch(url, {
                method: "POST",
                signal: AbortSignal.timeout(CALLER_TIMEOUT_MS),
            });
            const body = await response.json() as { key?: string; };
            return body.key;
        }
        catch {
            return undefined;
        }
    }
}
