/**
 * The stand-in upstream: slots, service times, faults, load shedding, cancellation, deadlines and a history.
 *
 * @module
 */
import Koa from "koa";
import getRawBody from "raw-body";
import type { ExecutionRecord } from "./execution_record.ts";
import { getMonotonicMs } from "./get_monotonic_ms.ts";
import type { UpstreamBehaviour } from "./upstream_behaviour.ts";

const MAX_BODY_BYTES = 1_048_576;

interface UpstreamServerOptions {
    readonly id: string;
    readonly service: string;
    readonly slots: number;
    readonly behaviour: UpstreamBehaviour;
}

/** Serves any path; the only effect of a request is one `executed` record in the history. */
export class UpstreamServer {
    private behaviour: UpstreamBehaviour;
    private running = 0;
    private served = 0;
    private readonly startedAtMs = Date.now();
    private readonly history: ExecutionRecord[] = [];

    constructor(private readonly options: UpstreamServerOptions) {
        this.behaviour = options.behaviour;
    }

    createApp(): Koa {
        const app = new Koa();
        app.use(context => this.handle(context));
        app.on("error", () => undefined);
        return app;
    }

    private async handle(context: Koa.Context): Promise<void> {
        const body = await getRawBody(context.req, { limit: MAX_BODY_BYTES, encoding: "utf8" });
        if (context.path === "/control/behaviour") {
            this.behaviour = { ...this.behaviour, ...(JSON.parse(body) as Partial<UpstreamBehaviour>) };
            context.body = this.behaviour;
        }
        else if (context.path === "/control/history") {
            context.body = this.history;
        }
        else if (context.path === "/load") {
            context.body = { running: this.running, slots: this.options.slots };
        }
        else if (context.path === "/health") {
            context.body = "ok";
        }
        else {
            await this.serve(context, body);
        }
    }

    private async serve(context: Koa.Context, body: string): Promise<void> {
        if (this.running >= this.options.slots || this.behaviour.draining) {
            this.record(context, body, "shed");
            context.status = 503;
            return;
        }
        this.running += 1;
        this.served += 1;
        try {
            await this.run(context, body, this.hasFault());
        }
        finally {
            this.running -= 1;
        }
    }

    private async run(context: Koa.Context, body: string, isFaulty: boolean): Promise<void> {
        const fault = isFaulty ? this.behaviour.fault : "none";
        if (fault === "cut-before") {
            context.req.socket.destroy();
            return;
        }
        this.record(context, body, "started");
        const durationMs = fault === "hang" ? 600_000 : this.computeServiceMs(context.path, fault === "slow");
        const timeoutMs = Number(context.get("connect-timeout-ms") || Infinity);
        if (!await waitUnlessClosed(context, Math.min(durationMs, timeoutMs)) || durationMs > timeoutMs) {
            this.record(context, body, "cancelled");
            context.status = 504;
            return;
        }
        this.record(context, body, "executed");
        this.sendAnswer(context, body, fault);
    }

    private sendAnswer(context: Koa.Context, body: string, fault: UpstreamBehaviour["fault"]): void {
        if (fault === "wrong-status") {
            context.status = 500;
            context.body = { error: "internal" };
            return;
        }
        if (fault === "wrong-content") {
            context.type = "text/html";
            context.body = "<p>maintenance</p>";
            return;
        }
        const { id, service } = this.options;
        const answer = {
            upstream: id,
            service,
            path: context.path,
            requestId: context.get("x-request-id"),
            body,
        };
        if (fault === "cut") {
            const text = JSON.stringify(answer);
            context.respond = false;
            context.res.writeHead(200, { "content-type": "application/json", "content-length": text.length });
            context.res.write(text.slice(0, text.length / 2), () => context.req.socket.destroy());
            return;
        }
        context.body = answer;
    }

    private hasFault(): boolean {
        const { fault, faultShare, flapMs } = this.behaviour;
        const elapsedMs = Date.now() - this.startedAtMs;
        const isActive = flapMs === 0 || Math.floor(elapsedMs / flapMs) % 2 === 0;
        // Spreads the share evenly over the requests, without random numbers, so that runs are reproducible.
        const isAffected = Math.floor(this.served * faultShare) > Math.floor((this.served - 1) * faultShare);
        return fault !== "none" && isActive && isAffected;
    }

    private computeServiceMs(path: string, isSlow: boolean): number {
        const { coldStartMs, longServiceMs, serviceMs, slowFactor } = this.behaviour;
        const coldStartFactor = Date.now() - this.startedAtMs < coldStartMs ? 2 : 1;
        return (path.includes("/history") ? longServiceMs : serviceMs) * (isSlow ? slowFactor : 1) *
            coldStartFactor;
    }

    private record(context: Koa.Context, body: string, phase: ExecutionRecord["phase"]): void {
        this.history.push({
            atMs: getMonotonicMs(),
            requestId: context.get("x-request-id"),
            key: context.get("idempotency-key"),
            method: context.method,
            path: context.path,
            body,
            phase,
        });
    }
}

/** Resolves with false when the client closes the connection before `durationMs` has passed. */
function waitUnlessClosed(context: Koa.Context, durationMs: number): Promise<boolean> {
    return new Promise(resolve => {
        const stop = () => {
            clearTimeout(timer);
            resolve(false);
        };
        const timer = setTimeout(() => {
            context.res.off("close", stop);
            resolve(true);
        }, durationMs);
        context.res.once("close", stop);
    });
}
