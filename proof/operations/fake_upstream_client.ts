import { Buffer } from "node:buffer";
import type { RandomSource } from "../../src/core/random_source.ts";
import type { UpstreamClient } from "../../src/dispatch/upstream_client.ts";
import type { UpstreamResult } from "../../src/dispatch/upstream_result.ts";
import { UpstreamResultKind } from "../../src/dispatch/upstream_result_kind.ts";
import type { OwnerRequest } from "../../src/queue/owner_request.ts";
import { EventKind } from "../event_kind.ts";
import type { VirtualTime } from "../fakes/virtual_time.ts";
import type { HistoryRecorder } from "../history_recorder.ts";
import type { FakeProcess } from "./fake_process.ts";
import { formatOperation } from "./format_operation.ts";

interface Options {
    readonly time: VirtualTime;
    readonly process: FakeProcess;
    readonly random: RandomSource;
    readonly history: HistoryRecorder;
}

/**
 * An upstream that refuses or sheds requests, closes connections early, or executes before or after the
 * timeout.
 */
export class FakeUpstreamClient implements UpstreamClient {
    constructor(private readonly options: Options) {}

    send(request: OwnerRequest, timeoutMs: number): Promise<UpstreamResult> {
        const { time, process, random } = this.options;
        const chance = random.getFloat();
        const serviceMs = 5 + (random.getFloat() < 0.1 ? 400 : 30) * random.getFloat();
        return new Promise(resolve => {
            const handleEnd = (kind: UpstreamResultKind, status?: number, text = "") => {
                const body = Buffer.from(text);
                const answer = status === undefined ? undefined : { status, headers: [], body };
                process.handle(() => resolve({ kind, answer, detail: "" }));
            };
            process.start(timeoutMs, () => handleEnd(UpstreamResultKind.TimedOut));
            if (chance < 0.05) {
                time.start(1, () => handleEnd(UpstreamResultKind.NotSent));
                return;
            }
            if (chance < 0.1) {
                time.start(2, () => handleEnd(UpstreamResultKind.Answered, 503));
                return;
            }
            time.start(serviceMs, () => {
                const text = this.run(request);
                handleEnd(chance < 0.15 ? UpstreamResultKind.Cut : UpstreamResultKind.Answered, 200, text);
            });
        });
    }

    close(): Promise<void> {
        return Promise.resolve();
    }

    private run(request: OwnerRequest): string {
        const { time, history } = this.options;
        const { requestId, attempt, upstreamId } = request;
        const operation = formatOperation(request);
        const content = `receipt for ${operation}`;
        const atMs = time.getMonotonicMs();
        const fields = { requestId, attempt, upstreamId, operation, idempotent: request.route.idempotent };
        history.record({ kind: EventKind.UpstreamExecuted, atMs, actor: upstreamId, content, ...fields });
        return content;
    }
}
