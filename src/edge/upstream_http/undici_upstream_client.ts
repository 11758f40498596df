/**
 * Sends requests to upstreams over HTTP/1.1.
 *
 * @module
 */
import { fromThrowable, ok, type Result } from "neverthrow";
import type { Dispatcher } from "undici";
import { isValidStatus } from "../../dispatch/is_valid_status.ts";
import type { UpstreamClient } from "../../dispatch/upstream_client.ts";
import type { UpstreamCodec } from "../../dispatch/upstream_codec.ts";
import type { UpstreamResult } from "../../dispatch/upstream_result.ts";
import { UpstreamResultKind } from "../../dispatch/upstream_result_kind.ts";
import type { MemoryGuard } from "../../memory/memory_guard.ts";
import type { OwnedUpstreamReader } from "../../queue/owned_upstream_reader.ts";
import type { OwnerRequest } from "../../queue/owner_request.ts";
import { closeBody } from "../http/close_body.ts";
import { formatEndToEndHeaders } from "../http/format_end_to_end_headers.ts";
import { hasSelfDefinedLength } from "../http/has_self_defined_length.ts";
import { isConnectError } from "../http/is_connect_error.ts";
import { readBody } from "../http/read_body.ts";
import { RequestDeadline } from "../http/request_deadline.ts";
import { AnswerCharge } from "./answer_charge.ts";
import { AnswerMemoryLimiter } from "./answer_memory_limiter.ts";
import { UpstreamConnection } from "./upstream_connection.ts";

interface Options {
    readonly upstreams: OwnedUpstreamReader;
    readonly codec: UpstreamCodec;
    /** Most bytes of all answers that are being read; that of the largest body when absent. */
    readonly answerMemoryBytes?: number;
    /** Absent when only answers that are being read are bounded. */
    readonly memory?: MemoryGuard;
}

/** Largest body of a request or an answer, in bytes. */
const maxBodyBytes = 67_108_864;

/** Results after which the connection is closed, because bytes of the answer may still arrive on it. */
const closingKinds: ReadonlySet<UpstreamResultKind> = new Set<UpstreamResultKind>([
    UpstreamResultKind.AnswerTooLarge,
    UpstreamResultKind.Cut,
    UpstreamResultKind.Garbled,
]);

const createConnection = fromThrowable(
    (address: string, memoryLimiter: AnswerMemoryLimiter) => new UpstreamConnection(address, memoryLimiter),
    error => String(error),
);

/** Sends each request once, on a connection that carries no other request at the same time. */
export class UndiciUpstreamClient implements UpstreamClient {
    /** Connections without a request, by address. */
    private readonly idleConnections = new Map<string, UpstreamConnection[]>();
    private readonly connections = new Set<UpstreamConnection>();
    private readonly answerMemoryBytes: number;
    private readonly memoryLimiter: AnswerMemoryLimiter;

    constructor(private readonly options: Options) {
        this.answerMemoryBytes = options.answerMemoryBytes ?? maxBodyBytes;
        this.memoryLimiter = new AnswerMemoryLimiter(this.answerMemoryBytes);
    }

    async send(request: OwnerRequest, timeoutMs: number, signal: AbortSignal): Promise<UpstreamResult> {
        const { codec, upstreams } = this.options;
        const upstream = upstreams.find(request.upstreamId);
        if (upstream === undefined) {
            return createResult(UpstreamResultKind.NotSent, "the upstream is not owned by this daemon");
        }
        const taken = this.takeConnection(upstream.address);
        if (taken.isErr()) {
            return createResult(UpstreamResultKind.NotSent, taken.error);
        }
        const connection = taken.value;
        const deadline = new RequestDeadline(signal, Math.max(1, Math.ceil(timeoutMs)));
        try {
            const response = await connection.send({
                method: request.method,
                path: request.target,
                headers: codec.encode(request, timeoutMs).flatMap(header => [header.name, header.value]),
                body: request.body.length === 0 ? undefined : request.body,
                signal: deadline.getSignal(),
            });
            const result = await this.readAnswer(request, response, deadline.getSignal());
            if (closingKinds.has(result.kind)) {
                this.removeConnection(connection);
            }
            else {
                this.releaseConnection(upstream.address, connection);
            }
            return result;
        }
        catch (error) {
            this.removeConnection(connection);
            return createErrorResult(error, signal, deadline);
        }
        finally {
            deadline.close();
        }
    }

    async close(): Promise<void> {
        await Promise.all([...this.connections].map(connection => connection.close()));
    }

    private async readAnswer(
        request: OwnerRequest,
        response: Dispatcher.ResponseData,
        signal: AbortSignal,
    ): Promise<UpstreamResult> {
        const { body: stream, headers, statusCode: status } = response;
        if (!isValidStatus(status)) {
            closeBody(stream);
            return createResult(UpstreamResultKind.Garbled, `status ${status} is outside 100 to 599`);
        }
        // A crashing upstream closes its connection as usual, so its end does not prove that a response is
        // complete.
        if (!hasSelfDefinedLength(request.method, status, headers)) {
            closeBody(stream);
            return createResult(
                UpstreamResultKind.Cut,
                "the response has neither a content length nor chunked encoding",
            );
        }
        const declaredLength = request.method === "HEAD" ? undefined : headers["content-length"];
        const maxBytes = Math.min(request.route.maxAnswerBytes, this.answerMemoryBytes);
        const declaredBytes = Number(declaredLength ?? 0);
        const { memory } = this.options;
        const charge = memory &&
            await AnswerCharge.open(
                { memory, maxBytes, signal },
                declaredBytes <= maxBytes ? declaredBytes : 0,
            );
        if (memory !== undefined && charge === undefined) {
            closeBody(stream);
            signal.throwIfAborted();
            return createResult(UpstreamResultKind.AnswerTooLarge, "there is no memory for the answer");
        }
        const body = await readBody(stream, {
            maxBytes,
            declaredLength: declaredLength?.toString(),
            handleGrowth: length => charge?.setLength(length) ?? true,
        }).finally(() => charge?.close());
        memory?.recordDropped(body.isOk() ? body.value.length : 0);
        if (body.isErr()) {
            closeBody(stream);
            signal.throwIfAborted();
            return createResult(
                UpstreamResultKind.AnswerTooLarge,
                body.error === "no-memory"
                    ? "there is no memory for the answer"
                    : `the answer has more than ${request.route.maxAnswerBytes} bytes`,
            );
        }
        const answer = { status, headers: formatEndToEndHeaders(headers), body: body.value };
        return this.options.codec.decode(request, answer);
    }

    /** Fails with a detail when the address is malformed. */
    private takeConnection(address: string): Result<UpstreamConnection, string> {
        const idleConnection = this.idleConnections.get(address)?.pop();
        if (idleConnection !== undefined) {
            return ok(idleConnection);
        }
        return createConnection(address, this.memoryLimiter).map(connection => {
            this.connections.add(connection);
            return connection;
        });
    }

    private releaseConnection(address: string, connection: UpstreamConnection): void {
        connection.release();
        const idle = this.idleConnections.get(address);
        if (idle === undefined) {
            this.idleConnections.set(address, [connection]);
        }
        else {
            idle.push(connection);
        }
    }

    private removeConnection(connection: UpstreamConnection): void {
        this.connections.delete(connection);
        connection.cancel();
    }
}

function createErrorResult(error: unknown, signal: AbortSignal, deadline: RequestDeadline): UpstreamResult {
    const detail = error instanceof Error ? error.message : String(error);
    if (isConnectError(error)) {
        return createResult(UpstreamResultKind.NotSent, detail);
    }
    if (signal.aborted) {
        return createResult(UpstreamResultKind.Cancelled, detail);
    }
    return createResult(
        deadline.hasTimedOut() ? UpstreamResultKind.TimedOut : UpstreamResultKind.Cut,
        detail,
    );
}

function createResult(kind: UpstreamResultKind, detail: string): UpstreamResult {
    return { kind, answer: undefined, detail };
}
