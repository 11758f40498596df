/**
 * Callers that send payments and repeat those whose outcome they do not know.
 *
 * @module
 */
import { EventKind } from "../../proof/event_kind.ts";
import type { HistoryEvent } from "../../proof/history_event.ts";
import { HistoryRecorder } from "../../proof/history_recorder.ts";
import type { Code } from "../../src/core/code.ts";
import { Outcome } from "../../src/core/outcome.ts";
import type { Fleet } from "../../standin/fleet.ts";
import { getSystemMs } from "../../standin/get_system_ms.ts";

const BUDGET_MS = 800;
/** A caller waits longer than its budget, because the answer itself takes time. */
const CALLER_TIMEOUT_MS = 3_000;
const REPEATS = 4;
const PAUSE_MS = 30;

interface Told {
    readonly outcome: Outcome | undefined;
    readonly code: Code | undefined;
    readonly content: string | undefined;
}

/** Runs callers until it is closed and records what they send and are told. */
export class PaymentLoad {
    private readonly recorder = new HistoryRecorder();
    private readonly callers: readonly Promise<void>[];
    private running = true;
    private sent = 0;

    constructor(private readonly fleet: Fleet, callers: number, private readonly keyed: boolean) {
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
            const payment = `payment ${caller}-${this.sent += 1}`;
            const key = this.keyed ? await this.fetchKey(caller) : undefined;
            if (!this.keyed || key !== undefined) {
                await this.sendPayment(caller, payment, key);
            }
            await new Promise(resolve => setTimeout(resolve, PAUSE_MS));
        }
    }

    private async sendPayment(caller: number, payment: string, key: string | undefined): Promise<void> {
        // Without a key each receipt is an operation of its own, so such a payment is sent once.
        const copies = key === undefined ? 1 : REPEATS;
        for (let copy = 0; copy < copies; copy += 1) {
            const actor = `caller ${caller}`;
            const requestId = `${payment} copy ${copy}`;
            this.recorder.record({
                kind: EventKind.CallerSent,
                atMs: getSystemMs(),
                actor,
                requestId,
                operation: payment,
            });
            const told = await this.send(caller + copy, payment, key);
            const atMs = getSystemMs();
            if (told?.outcome !== undefined) {
                const { code, content, outcome } = told;
                const answer = { actor, requestId, operation: payment, outcome };
                this.recorder.record({
                    kind: EventKind.CallerAnswered,
                    atMs,
                    ...answer,
                    ...(code === undefined ? {} : { code }),
                    ...(content === undefined ? {} : { content }),
                });
            }
            if (told?.outcome === Outcome.Executed || told?.outcome === Outcome.NotExecuted) {
                return;
            }
        }
    }

    /** Undefined when the caller got no answer at all. */
    private async send(daemon: number, payment: string, key: string | undefined): Promise<Told | undefined> {
        const { daemons } = this.fleet;
        const headers: Record<string, string> = { "connect-timeout-ms": `${BUDGET_MS}` };
        if (key !== undefined) {
            headers["idempotency-key"] = key;
        }
        try {
            const response = await fetch(`${daemons[daemon % daemons.length]!.callerUrl}/payments`, {
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
