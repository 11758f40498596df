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
import type { MemoryGuard } from "../../memory/memory_guard.ts";
import { MemoryHolder } from "../../memory/memory_holder.ts";
import type { OwnerIdentity } from "../../operations/owner_identity.ts";
import type { IncomingDispatch } from "../../queue/incoming_dispatch.ts";
import { decodeDispatch } from "./decode_dispatch.ts";
import { encodeFrame } from "./encode_frame.ts";
import { encodeReply } from "./encode_reply.ts";
import { FrameSocket } from "./frame_socket.ts";
import { HeldAnswers } from "./held_answers.ts";
import { IncomingBodies } from "./incoming_bodies.ts";
import { linkProtocol } from "./link_protocol.ts";
import { maxWholeBodyBytes } from "./max_whole_body_bytes.ts";

interface Options {
    readonly identity: OwnerIdentity;
    /** Resolves and runs an attempt. */
    readonly owner: Filter<IncomingDispatch, OwnerReply>;
    /** Undefined when the daemon has closed. */
    readonly registerRequest: () => InFlightRequest | undefined;
    readonly memory: MemoryGuard;
}

/** State of one link. */
interface LinkState {
    readonly socket: FrameSocket;
    readonly runningAttempts: Map<number, AbortController>;
    readonly incomingBodies: IncomingBodies;
    readonly heldAnswers: HeldAnswers;
}

/** An attempt whose reply is to be sent. */
interface ReplyTarget {
    readonly link: LinkState;
    readonly id: number;
    /** True when the entry daemon asks for an answer in pieces. */
    readonly fetchesAnswer: boolean;
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
        const incomingBodies = new IncomingBodies(this.options.memory);
        const link: FrameSocket = new FrameSocket(socket, {
            handleFrame: frame =>
                this.handleFrame({ socket: link, runningAttempts, incomingBodies, heldAnswers }, frame),
            handleClose: () => {
                this.links.delete(link);
                incomingBodies.close();
                heldAnswers.close();
                runningAttempts.forEach(controller => controller.abort());
            },
        });
        const heldAnswers = new HeldAnswers(link);
        this.links.add(link);
    }

    private handleFrame(link: LinkState, { content, id }: LinkFrame): void {
        if (content.case === "cancel") {
            link.incomingBodies.cancel(id);
            link.socket.cancelBody(id);
            link.heldAnswers.cancel(id);
            link.runningAttempts.get(id)?.abort();
        }
        else if (content.case === "fetch") {
            link.heldAnswers.send(id);
        }
        else if (content.case === "dispatch") {
            this.handleDispatch(link, id, content.value);
        }
        else if (content.case === "piece" && !link.incomingBodies.add(id, content.value.bytes)) {
            link.socket.cancel();
        }
    }

    private handleDispatch(link: LinkState, id: number, frame: LinkDispatch): void {
        const { body, fetchesAnswer, followingBytes, head } = frame;
        const target = { link, id, fetchesAnswer };
        if (head === undefined) {
            // The frame is not one of this version; the entry daemon sees that the link was closed.
            link.socket.cancel();
            return;
        }
        const controller = new AbortController();
        if (followingBytes === 0) {
            void this.runAttempt(target, decodeDispatch(head, body, controller.signal), controller);
            return;
        }
        const refuse = (): void => {
            const dispatch = decodeDispatch(head, body, controller.signal);
            this.sendReply(target, this.buildFailureReply(dispatch, createFailure(Code.MemoryShort)));
        };
        const opened = link.incomingBodies.open(id, followingBytes, {
            handleWhole: whole =>
                void this.runAttempt(target, decodeDispatch(head, whole, controller.signal), controller),
            handleDropped: refuse,
        });
        if (opened) {
            this.sendAccepted(link.socket, id);
        }
        else {
            refuse();
        }
    }

    private async runAttempt(
        target: ReplyTarget,
        dispatch: IncomingDispatch,
        controller: AbortController,
    ): Promise<void> {
        const { memory, registerRequest } = this.options;
        const { id, link } = target;
        const inFlightRequest = registerRequest();
        if (inFlightRequest === undefined) {
            this.sendReply(target, this.buildFailureReply(dispatch, createFailure(Code.OwnerLeaving)));
            return;
        }
        const charge = memory.addCharge(MemoryHolder.RequestBody, dispatch.body.length);
        if (dispatch.body.length <= maxWholeBodyBytes) {
            this.sendAccepted(link.socket, id);
        }
        link.runningAttempts.set(id, controller);
        const reply = await this.applyOwner(dispatch);
        link.runningAttempts.delete(id);
        charge.close();
        this.sendReply(target, reply, () => inFlightRequest.close(!controller.signal.aborted));
    }

    private sendAccepted(link: FrameSocket, id: number): void {
        encodeFrame({ id, content: { case: "accepted", value: {} } }).map(frame => link.send(frame));
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

    /**
     * Sends the reply, or one without an answer and with its outcome when a value does not fit its field. Calls
     * `handleEnd` when all of it has been passed to the connection or dropped.
     */
    private sendReply(target: ReplyTarget, reply: OwnerReply, handleEnd: () => void = () => undefined): void {
        const { fetchesAnswer, id, link } = target;
        const encoded = this.encodeReplyFrame(target, reply);
        const body = encoded.isOk() ? reply.answer?.body : undefined;
        encoded.orElse(({ detail }) =>
            this.encodeReplyFrame(
                target,
                buildOwnerReply(this.options.identity, reply, {
                    code: Code.PeerProtocol,
                    outcome: reply.outcome,
                    detail,
                }),
            )
        ).map(frame => link.socket.send(frame));
        if (body === undefined || body.length <= maxWholeBodyBytes) {
            handleEnd();
            return;
        }
        const charge = this.options.memory.addCharge(MemoryHolder.LinkFrame, body.length);
        const outgoing = { id, bytes: body, handleEnd: () => charge.close() };
        if (fetchesAnswer) {
            link.heldAnswers.add(outgoing, handleEnd);
        }
        else {
            link.socket.sendBody(outgoing);
            handleEnd();
        }
    }

    private encodeReplyFrame(
        { fetchesAnswer, id }: ReplyTarget,
        reply: OwnerReply,
    ): Result<Uint8Array, Failure> {
        const body = reply.answer?.body ?? new Uint8Array();
        const head = encodeReply(reply);
        const value = body.length > maxWholeBodyBytes
            ? { head, followingBytes: body.length, awaitsFetch: fetchesAnswer }
            : { head, body };
        return encodeFrame({ id, content: { case: "reply", value } });
    }

    private buildFailureReply(dispatch: IncomingDispatch, failure: Failure): OwnerReply {
        return buildOwnerReply(this.options.identity, dispatch, failure);
    }
}
