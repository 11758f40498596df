/**
 * Front end for callers over HTTP/1.1.
 *
 * @module
 */
import Koa from "koa";
import type { Readable } from "node:stream";
import type { Answer } from "../../core/answer.ts";
import type { MemoryGuard } from "../../memory/memory_guard.ts";
import type { CallerCodec } from "../../receive/caller_codec.ts";
import type { IncomingRequest } from "../../receive/incoming_request.ts";
import { createBufferView } from "../http/create_buffer_view.ts";
import { formatEndToEndHeaders } from "../http/format_end_to_end_headers.ts";
import { ServerConnection } from "../http/server_connection.ts";
import { ServerExchange } from "../http/server_exchange.ts";
import { AnswerTransfer } from "./answer_transfer.ts";
import { CallerBody } from "./caller_body.ts";

interface CallerAppOptions {
    readonly codec: CallerCodec;
    readonly handle: (incoming: IncomingRequest) => Promise<Answer>;
    /** Registers each request as in flight, before it is handled. */
    readonly inFlightMiddleware: Koa.Middleware;
    /** Largest request body of any route, in bytes. */
    readonly getMaxRequestBytes: () => number;
    readonly memory: MemoryGuard;
}

/** Builds the koa application that passes each request to the entry pipeline. */
export function createCallerApp(options: CallerAppOptions): Koa {
    const app = new Koa();
    app.use(options.inFlightMiddleware);
    app.use(async context => {
        const exchange = ServerExchange.get(context.res);
        const signal = exchange.getSignal();
        const { codec, memory } = options;
        const connection = ServerConnection.get(context.req.socket);
        const hasOtherRequests = (): boolean => connection.countRunning() > 1;
        const callerBody = new CallerBody({
            request: context.req,
            memory,
            maxBytes: options.getMaxRequestBytes(),
            signal,
            hasOtherRequests,
        });
        exchange.addEndListener(() => callerBody.release());
        const body = await callerBody.read();
        if (signal.aborted) {
            return;
        }
        const answer = body.isErr()
            ? codec.encodeProblem(body.error, "")
            : await options.handle({
                method: context.method,
                host: context.get("host"),
                target: context.url,
                headers: formatEndToEndHeaders(context.req.headers),
                body: body.value,
                signal,
            });
        // The request may have been answered at the drain timeout meanwhile; this answer must not mix with
        // that one.
        if (signal.aborted) {
            return;
        }
        const transfer = AnswerTransfer.open(context.res, answer.body, {
            memory,
            isBehindOther: () => !connection.isFirst(exchange),
        });
        if (transfer !== undefined) {
            exchange.addEndListener(() => transfer.release());
        }
        sendAnswer(context, answer, transfer?.getStream() ?? createBufferView(answer.body));
        if (body.isErr() && context.req.complete) {
            exchange.closeConnection();
        }
        else if (body.isErr()) {
            // Otherwise Node.js would read and discard the rest of the body before the next request.
            context.set("connection", "close");
        }
    });
    // A caller that closes its connection early is not an error of the daemon; its request has been aborted.
    app.on("error", () => undefined);
    return app;
}

function sendAnswer(context: Koa.Context, answer: Answer, body: Buffer | Readable): void {
    context.status = answer.status;
    for (const header of answer.headers) {
        context.append(header.name, header.value);
    }
    context.body = body;
    context.length = answer.body.length;
    const contentType = answer.headers.find(header => header.name === "content-type");
    // koa adds a default content type to a buffer or stream.
    if (contentType === undefined) {
        context.remove("content-type");
    }
    else {
        context.set("content-type", contentType.value);
    }
}
