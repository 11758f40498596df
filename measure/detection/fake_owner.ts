import type { VirtualTime } from "../../proof/fakes/virtual_time.ts";
import { Code } from "../../src/core/code.ts";
import { codeTable } from "../../src/core/code_table.ts";
import type { UpstreamResult } from "../../src/dispatch/upstream_result.ts";
import { UpstreamResultKind } from "../../src/dispatch/upstream_result_kind.ts";
import type { OwnerReply } from "../../src/forward/owner_reply.ts";
import type { DispatchMonitor } from "../../src/health/dispatch_monitor.ts";
import type { EvidenceRecorder } from "../../src/health/evidence_recorder.ts";
import type { HealthScoreTable } from "../../src/health/health_score_table.ts";
import type { OwnerRequest } from "../../src/queue/owner_request.ts";
import type { FakeUpstream } from "./fake_upstream.ts";

interface Options {
    readonly time: VirtualTime;
    readonly upstream: FakeUpstream;
    readonly slots: number;
    readonly evidence: EvidenceRecorder;
    readonly monitor: DispatchMonitor;
    readonly scoreTable: HealthScoreTable;
}

interface QueuedRequest {
    readonly request: OwnerRequest;
    readonly send: (reply: OwnerReply) => void;
}

const codes: Readonly<Record<UpstreamResultKind, Code>> = {
    [UpstreamResultKind.Answered]: Code.Ok,
    [UpstreamResultKind.NotSent]: Code.UpstreamRefused,
    [UpstreamResultKind.Cut]: Code.UpstreamCut,
    [UpstreamResultKind.TimedOut]: Code.UpstreamTimeout,
    [UpstreamResultKind.Cancelled]: Code.CallerCancelled,
    [UpstreamResultKind.AnswerTooLarge]: Code.AnswerTooLarge,
    [UpstreamResultKind.Declined]: Code.UpstreamShed,
    [UpstreamResultKind.Replaced]: Code.UpstreamReplaced,
    [UpstreamResultKind.Garbled]: Code.UpstreamGarbled,
};

/** Owner of one upstream with a bounded FIFO queue and the real evidence recorder. */
export class FakeOwner {
    private running = 0;
    private meanMs = 30;
    private readonly queue: QueuedRequest[] = [];

    constructor(private readonly options: Options) {}

    handle(request: OwnerRequest, send: (reply: OwnerReply) => void): void {
        if (this.queue.length >= request.service.limits.queueLength) {
            send(this.buildReply(request, { code: Code.QueueFull }));
            return;
        }
        this.queue.push({ request, send });
        this.startNext();
    }

    private startNext(): void {
        while (this.running < this.options.slots && this.queue.length > 0) {
            this.startExchange(this.queue.shift()!);
        }
    }

    private startExchange({ request, send }: QueuedRequest): void {
        const { time, upstream, monitor } = this.options;
        const startedAtMs = time.getMonotonicMs();
        const waitMs = startedAtMs - request.receivedAtMs;
        if (request.deadlineMs - startedAtMs < request.route.serviceMs) {
            send(this.buildReply(request, { code: Code.WaitTooLong, waitMs }));
            return;
        }
        this.running += 1;
        monitor.start(request);
        upstream.run(request, startedAtMs, request.deadlineMs - startedAtMs, result => {
            this.running -= 1;
            const serviceMs = time.getMonotonicMs() - startedAtMs;
            this.meanMs += (serviceMs - this.meanMs) * 0.1;
            const permit = { close: () => undefined };
            monitor.record({ ...request, permit, waitMs, result, refusal: undefined, serviceMs });
            send(this.buildReply(request, { code: codes[result.kind], waitMs, serviceMs, result }));
            this.startNext();
        });
    }

    private buildReply(
        request: OwnerRequest,
        completion: { code: Code; waitMs?: number; serviceMs?: number; result?: UpstreamResult; },
    ): OwnerReply {
        const { time, slots, evidence, scoreTable } = this.options;
        const waitMs = this.queue.length * this.meanMs / slots;
        return {
            requestId: request.requestId,
            attempt: request.attempt,
            ownerId: `owner of ${request.upstreamId}`,
            incarnation: "1",
            code: completion.code,
            outcome: codeTable[completion.code].outcome,
            detail: "",
            answer: completion.result?.answer,
            serviceMs: completion.serviceMs ?? 0,
            waitMs: completion.waitMs ?? 0,
            upstream: {
                upstreamId: request.upstreamId,
                slots,
                running: this.running,
                queuedShort: this.queue.length,
                queuedLong: 0,
                waitShortMs: waitMs,
                waitLongMs: waitMs,
                healthScore: evidence.getScore(request.upstreamId),
                leaving: false,
                faultProbability: 0,
            },
            healthReports: scoreTable.listReports(time.getMonotonicMs(), request.upstreamId),
        };
    }
}
