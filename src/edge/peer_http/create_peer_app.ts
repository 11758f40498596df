/**
 * Front end for attempts from other daemons.
 *
 * @module
 */
import Koa from "koa";
import { err, type Result } from "neverthrow";
import { Code } from "../../core/code.ts";
import { createFailure } from "../../core/create_failure.ts";
import type { Failure } from "../../core/failure.ts";
import type { Filter } from "../../core/filter.ts";
import { buildOwnerReply } from "../../forward/build_owner_reply.ts";
import type { OwnerReply } from "../../forward/owner_reply.ts";
import type { OwnerIdentity } from "../../operations/owner_identity.ts";
import type { IncomingDispatch } from "../../queue/incoming_dispatch.ts";
import { createAbortSignal } from "../http/create_abort_signal.ts";
import { getBuffer } from "../http/get_buffer.ts";
import { readBody } from "../http/read_body.ts";
import { decodeDispatch } from "./decode_dispatch.ts";
import { encodeReply } from "./encode_reply.ts";
import { PeerHeader } from "./peer_header.ts";

interface PeerAppOptions {
    /** Runs before each request. */
    readonly lease: Koa.Middleware;
    readonly identity: OwnerIdentity;
    /** Resolves and runs an attempt. */
    readonly owner: Filter<IncomingDispatch, OwnerReply>;
    /** Largest request body of any route, in bytes. */
    readonly maxRequestBytes: number;
}

/** Builds the koa application behind `POST /v1/dispatch`. */
export function createPeerApp(options: PeerAppOptions): Koa {
    const app = new Koa();
    app.use(options.lease);
    app.use(async context => {
        if (context.path !== "/v1/dispatch" || context.method !== "POST") {
            context.status = 404;
            return;
        }
        const body = await readBody(
            context.req,
            options.maxRequestBytes,
            context.get("content-length") || undefined,
        );
        const dispatch: Result<IncomingDispatch, Failure> = body.isErr()
            ? err(createFailure(Code.RequestTooLarge))
            : decodeDispatch(context.get(PeerHeader.Dispatch), body.value, createAbortSignal(context.res));
        if (dispatch.isErr()) {
            context.status = 400;
            context.body = dispatch.error.detail;
            return;
        }
        const result = await options.owner.apply(dispatch.value);
        const reply = result.isOk()
            ? result.value
            : buildOwnerReply(options.identity, dispatch.value, result.error);
        context.status = 200;
        context.set(PeerHeader.Reply, encodeReply(reply));
        context.body = getBuffer(reply.answer?.body ?? new Uint8Array());
    });
    // A daemon that breaks its connection is not an error of this one; the pipeline has been aborted.
    app.on("error", () => undefined);
    return app;
}
