/**
 * Serves the links of other daemons.
 *
 * @module
 */
import { create, type MessageInitShape } from "@bufbuild/protobuf";
import type { IncomingMessage } from "node:http";
import type { Socket } from "node:net";
import { Code } from "../../core/code.ts";
import { createFailure } from "../../core/create_failure.ts";
import type { Failure } from "../../core/failure.ts";
import type { Filter } from "../../core/filter.ts";
import { buildOwnerReply } from "../../forward/build_owner_reply.ts";
import type { OwnerReply } from "../../forward/owner_reply.ts";
import { type LinkDispatch, type LinkFrame, LinkFrameSchema } from "../../gen/zinniaglade/v1/control_pb.ts";
import type { DrainableListener } from "../../lifecycle/drainable_listener.ts";
import type { InFlightRequest } from "../../lifecycle/in_flight_request.ts";
import type { OwnerIdentity } from "../../operations/owner_identity.ts";
import type { IncomingDispatch } from "../../queue/incoming_dispatch.ts";
import { decodeDispatch } from "./decode_dispatch.ts";
import { encodeReply } from "./encode_reply.ts";
import { FrameSocket } from "./frame_socket.ts";
import { linkProtocol } from "./link_protocol.ts";

interface Options {
    readonly identity: OwnerIdentity;
    /** Resolves and runs an attempt. */
    readonly owner: Filter<IncomingDispatch, OwnerReply>;
    /** Undefined when the daemon has closed. */
    readonly registerRequest: () => InFlightRequest | undefined;
}

/** Milliseconds for a peer to close its side of a link; a round trip between regions takes up to 40 ms. */
const closeTimeoutMs = 500;

type Content = MessageInitShape<typeof LinkFrameSchema>["content"];

/** Runs each attempt through the owner pipeline; a cancel frame or the end of the link aborts its signal. */
export class LinkListener implements DrainableListener {
    private readonly links = new Set<FrameSocket>();

    constructor(private readonly options: Options) {}

    /** Handles the event `upgrade` of an HTTP server; refuses protocols other than that of links. */
    handleUpgrade(message: IncomingMessage, socket: Socket, head: Buffer): void {
        if (message.headers.upgrade !== linkProtocol) {
            socket.end("HTTP/1.1 400 Bad Request\r\nConnection: close\r\n\r\n");
            return;
        }
        socket.write(
            `HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: ${linkProtocol}\r\n\r\n`,
        );
        if (head.length > 0) {
            socket.unshift(head);
        }
        this.open(socket);
    }

    /** Does nothing: the HTTP server refuses new links, and open ones continue. */
    stop(): void {}

    /**
     * Sends the buffered frames of each link and closes it; destroys links whose peer does not close in time.
     */
    async close(): Promise<void> {
        const links = [...this.links];
        links.forEach(link => link.close());
        const timer = setTimeout(() => links.forEach(link => link.cancel()), closeTimeoutMs);
        await Promise.all(links.map(link => link.waitForClose()));
        clearTimeout(timer);
    }

    private open(socket: Socket): void {
        const runningAttempts = new Map<number, AbortController>();
        const link: FrameSocket = new FrameSocket(socket, {
            handleFrame: frame => this.handleFrame(link, runningAttempts, frame),
            handleClose: () => {
                this.links.delete(link);
                runningAttempts.forEach(controller => controller.abort());
            },
        });
        this.links.add(link);
    }

    private handleFrame(
        link: FrameSocket,
        runningAttempts: Map<number, AbortController>,
        { content, id }: LinkFrame,
    ): void {
        if (content.case === "cancel") {
            runningAttempts.get(id)?.abort();
        }
        else if (content.case === "dispatch") {
            void this.runAttempt(link, runningAttempts, id, content.value);
        }
    }

    private async runAttempt(
        link: FrameSocket,
        runningAttempts: Map<number, AbortController>,
        id: number,
        { body, head }: LinkDispatch,
    ): Promise<void> {
        if (head === undefined) {
            // The frame is not one of this version; the entry daemon sees that the link was closed.
            link.cancel();
            return;
        }
        const send = (content: Content): void => link.send(create(LinkFrameSchema, { id, content }));
        const sendReply = (reply: OwnerReply): void =>
            send({
                case: "reply",
                value: { head: encodeReply(reply), body: reply.answer?.body ?? new Uint8Array() },
            });
        const controller = new AbortController();
        const dispatch = decodeDispatch(head, body, controller.signal);
        const inFlightRequest = this.options.registerRequest();
        if (inFlightRequest === undefined) {
            sendReply(this.buildFailureReply(dispatch, createFailure(Code.OwnerLeaving)));
            return;
        }
        send({ case: "accepted", value: {} });
        runningAttempts.set(id, controller);
        const result = await this.options.owner.apply(dispatch);
        runningAttempts.delete(id);
        sendReply(
            result.match(value => value, (failure: Failure) => this.buildFailureReply(dispatch, failure)),
        );
        inFlightRequest.close(!controller.signal.aborted);
    }

    private buildFailureReply(dispatch: IncomingDispatch, failure: Failure): OwnerReply {
        return buildOwnerReply(this.options.identity, dispatch, failure);
    }
}
