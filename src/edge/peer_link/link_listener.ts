/**
 * Serves the links of other daemons.
 *
 * @module
 */
import type { Result } from "neverthrow";
import type { IncomingMessage } from "node:http";
import type { Socket } from "node:net";
import { Code } from "../../core/code.ts";
import { createFailure } from "../../core/create_failure.ts";
import type { Failure } from "../../core/failure.ts";
import type { Filter } from "../../core/filter.ts";
import { buildOwnerReply } from "../../forward/build_owner_reply.ts";
import type { OwnerReply } from "../../forward/owner_reply.ts";
import type { LinkDispatch, LinkFrame } from "../../gen/zinniaglade/v1/control_pb.ts";
import type { DrainableListener } from "../../lifecycle/drainable_listener.ts";
import type { InFlightRequest } from "../../lifecycle/in_flight_request.ts";
import type { OwnerIdentity } from "../../operations/owner_identity.ts";
import type { IncomingDispatch } from "../../queue/incoming_dispatch.ts";
import { decodeDispatch } from "./decode_dispatch.ts";
import { encodeFrame } from "./encode_frame.ts";
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
        const controller = new AbortController();
        const dispatch = decodeDispatch(head, body, controller.signal);
        const inFlightRequest = this.options.registerRequest();
        if (inFlightRequest === undefined) {
            this.sendReply(link, id, this.buildFailureReply(dispatch, createFailure(Code.OwnerLeaving)));
            return;
        }
        encodeFrame({ id, content: { case: "accepted", value: {} } }).map(frame => link.send(frame));
        runningAttempts.set(id, controller);
        const reply = await this.applyOwner(dispatch);
        runningAttempts.delete(id);
        this.sendReply(link, id, reply);
        inFlightRequest.close(!controller.signal.aborted);
    }

    /** An error of the pipeline leaves open whether the attempt ran. */
    private async applyOwner(dispatch: IncomingDispatch): Promise<OwnerReply> {
        try {
            const result = await this.options.owner.apply(dispatch);
            return result.match(value => value, failure => this.buildFailureReply(dispatch, failure));
        }
        catch (error) {
            const detail = String(error);
            return this.buildFailureReply(dispatch, createFailure(Code.PeerProtocol, { detail }));
        }
    }

    /** Sends the reply, or one without an answer and with its outcome when a value does not fit its field. */
    private sendReply(link: FrameSocket, id: number, reply: OwnerReply): void {
        const frame = this.encodeReplyFrame(id, reply).orElse(({ detail }) =>
            this.encodeReplyFrame(
                id,
                buildOwnerReply(this.options.identity, reply, {
                    code: Code.PeerProtocol,
                    outcome: reply.outcome,
                    detail,
                }),
            )
        );
        frame.map(bytes => link.send(bytes));
    }

    private encodeReplyFrame(id: number, reply: OwnerReply): Result<Uint8Array, Failure> {
        const body = reply.answer?.body ?? new Uint8Array();
        return encodeFrame({ id, content: { case: "reply", value: { head: encodeReply(reply), body } } });
    }

    private buildFailureReply(dispatch: IncomingDispatch, failure: Failure): OwnerReply {
        return buildOwnerReply(this.options.identity, dispatch, failure);
    }
}
