/**
 * Sends requests to upstreams over HTTP/1.1.
 *
 * @module
 */
import { type Dispatcher, Pool } from "undici";
import type { UpstreamClient } from "../../dispatch/upstream_client.ts";
import type { UpstreamCodec } from "../../dispatch/upstream_codec.ts";
import type { UpstreamResult } from "../../dispatch/upstream_result.ts";
import { UpstreamResultKind } from "../../dispatch/upstream_result_kind.ts";
import type { OwnedUpstream } from "../../queue/owned_upstream.ts";
import type { OwnedUpstreamReader } from "../../queue/owned_upstream_reader.ts";
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

interface Options {
    readonly upstreams: OwnedUpstreamReader;
    readonly codec: UpstreamCodec;
    /** True when an answer may end with its connection; false when such an answer counts as cut. */
    readonly allowsCloseDelimited?: boolean;
}

/** One connection pool for each address; a connection carries one request at a time and none is sent twice. */
export class UndiciUpstreamClient implements UpstreamClient {
    private readonly pools = new Map<string, Pool>();

    constructor(private readonly options: Options) {}

    async send(request: OwnerRequest, timeoutMs: number, signal: AbortSignal): Promise<UpstreamResult> {
        const { codec, upstreams } = this.options;
        const upstream = upstreams.find(request.upstreamId);
        if (upstream === undefined) {
            return createResult(UpstreamResultKind.NotSent, "the upstream is not owned by this daemon");
        }
        const deadline = new RequestDeadline(signal, Math.max(1, Math.ceil(timeoutMs)));
        try {
            const response = await this.getPool(upstream).request({
                method: request.method,
                path: request.target,
                headers: codec.encode(request, timeoutMs).flatMap(header => [header.name, header.value]),
                body: request.body.length === 0 ? undefined : request.body,
                signal: deadline.getSignal(),
            });
            return await this.readAnswer(request, response);
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

    private async readAnswer(
        request: OwnerRequest,
        response: Dispatcher.ResponseData,
    ): Promise<UpstreamResult> {
        const { body: stream, headers, statusCode: status } = response;
        if (this.options.allowsCloseDelimited !== true && !hasDeclaredEnd(request.method, status, headers)) {
            closeBody(stream);
            return createResult(
                UpstreamResultKind.Cut,
                "the response declares neither its length nor chunks",
            );
        }
        const declaredLength = request.method === "HEAD" ? undefined : headers["content-length"];
        const body = await readBody(stream, request.route.maxAnswerBytes, declaredLength?.toString());
        if (body.isErr()) {
            closeBody(stream);
            return createResult(
                UpstreamResultKind.AnswerTooLarge,
                `more than ${request.route.maxAnswerBytes} bytes`,
            );
        }
        const answer = { status, headers: formatEndToEndHeaders(headers), body: body.value };
        return this.options.codec.decode(request, answer);
    }

    private getPool(upstream: OwnedUpstream): Pool {
        let pool = this.pools.get(upstream.address);
        if (pool === undefined) {
            pool = new Pool(`http://${upstream.address}`, {
                connections: upstream.slots,
                pipelining: 1,
                connect: { timeout: CONNECT_TIMEOUT_MS },
                keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS,
                keepAliveMaxTimeout: KEEP_ALIVE_TIMEOUT_MS,
                headersTimeout: 0,
                bodyTimeout: 0,
            });
            this.pools.set(upstream.address, pool);
        }
        return pool;
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
