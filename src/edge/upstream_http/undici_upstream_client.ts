/**
 * Sends requests to upstreams over HTTP/1.1.
 *
 * @module
 */
import { Pool } from "undici";
import { RequestHeader } from "../../core/request_header.ts";
import type { UpstreamClient } from "../../dispatch/upstream_client.ts";
import type { UpstreamResult } from "../../dispatch/upstream_result.ts";
import { UpstreamResultKind } from "../../dispatch/upstream_result_kind.ts";
import type { OwnedUpstream } from "../../queue/owned_upstream.ts";
import type { OwnerRequest } from "../../queue/owner_request.ts";
import { closeBody } from "../http/close_body.ts";
import { formatEndToEndHeaders } from "../http/format_end_to_end_headers.ts";
import { hasDeclaredEnd } from "../http/has_declared_end.ts";
import { isConnectError } from "../http/is_connect_error.ts";
import { readBody } from "../http/read_body.ts";
import { RequestDeadline } from "../http/request_deadline.ts";

const CONNECT_TIMEOUT_MS = 1_000;
/** Below the five seconds after which Node.js servers close idle connections, so that none is reused as it closes. */
const KEEP_ALIVE_TIMEOUT_MS = 4_000;

/** One connection pool for each owned upstream; a connection carries one request at a time and none is sent twice. */
export class UndiciUpstreamClient implements UpstreamClient {
    private readonly pools = new Map<string, Pool>();

    constructor(upstreams: readonly OwnedUpstream[]) {
        for (const upstream of upstreams) {
            const pool = new Pool(`http://${upstream.address}`, {
                connections: upstream.slots,
                pipelining: 1,
                connect: { timeout: CONNECT_TIMEOUT_MS },
                keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS,
                keepAliveMaxTimeout: KEEP_ALIVE_TIMEOUT_MS,
                headersTimeout: 0,
                bodyTimeout: 0,
            });
            this.pools.set(upstream.id, pool);
        }
    }

    async send(request: OwnerRequest, timeoutMs: number, signal: AbortSignal): Promise<UpstreamResult> {
        const pool = this.pools.get(request.upstreamId);
        if (pool === undefined) {
            return createResult(UpstreamResultKind.NotSent, "the upstream is not owned by this daemon");
        }
        const deadline = new RequestDeadline(signal, Math.max(1, Math.ceil(timeoutMs)));
        try {
            const response = await pool.request({
                method: request.method,
                path: request.target,
                headers: createUpstreamHeaders(request, timeoutMs),
                body: request.body.length === 0 ? undefined : request.body,
                signal: deadline.getSignal(),
            });
            if (!hasDeclaredEnd(request.method, response.statusCode, response.headers)) {
                closeBody(response.body);
                return createResult(
                    UpstreamResultKind.Cut,
                    "the response declares neither its length nor chunks",
                );
            }
            const declaredLength = response.headers["content-length"];
            const bodyLength = request.method === "HEAD" ? undefined : declaredLength;
            const body = await readBody(response.body, request.route.maxAnswerBytes, bodyLength?.toString());
            if (body.isErr()) {
                closeBody(response.body);
                return createResult(
                    UpstreamResultKind.AnswerTooLarge,
                    `more than ${request.route.maxAnswerBytes} bytes`,
                );
            }
            const headers = formatEndToEndHeaders(response.headers);
            const answer = { status: response.statusCode, headers, body: body.value };
            return { kind: UpstreamResultKind.Answered, answer, detail: "" };
        }
        catch (error) {
            return createErrorResult(error, signal, deadline);
        }
        finally {
            deadline.close();
        }
    }

    async close(): Promise<void> {
        await Promise.all([...this.pools.values()].map(pool => pool.close()));
    }
}

function createUpstreamHeaders(request: OwnerRequest, timeoutMs: number): string[] {
    const headers = request.headers.flatMap(header => [header.name, header.value]);
    headers.push(RequestHeader.Timeout, `${Math.max(1, Math.floor(timeoutMs))}`);
    headers.push(RequestHeader.RequestId, request.requestId);
    if (request.idempotencyKey !== undefined) {
        headers.push(RequestHeader.IdempotencyKey, request.idempotencyKey);
    }
    return headers;
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
