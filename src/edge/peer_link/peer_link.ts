/**
 * Link to an owner: one connection that carries many attempts at the same time.
 *
 * @module
 */
import { ok, type Result } from "neverthrow";
import { request } from "node:http";
import type { Socket } from "node:net";
import { Code } from "../../core/code.ts";
import { createFailure } from "../../core/create_failure.ts";
import type { Failure } from "../../core/failure.ts";
import type { DispatchHead, LinkFrame, LinkReply } from "../../gen/zinniaglade/v1/control_pb.ts";
import type { MemoryGuard } from "../../memory/memory_guard.ts";
import { splitAddress } from "../http/split_address.ts";
import { encodeFrame } from "./encode_frame.ts";
import { FrameSocket } from "./frame_socket.ts";
import { IncomingBodies } from "./incoming_bodies.ts";
import { linkProtocol } from "./link_protocol.ts";
import { maxWholeBodyBytes } from "./max_whole_body_bytes.ts";

/** Handlers of what the owner sends about one attempt. */
interface AttemptHandlers {
    readonly handleAccepted: () => void;
    readonly handleReply: (reply: LinkReply) => void;
    /** Called when the link ends before the reply; `PeerUnreachable` when the attempt was not sent. */
    readonly handleFailure: (failure: Failure) => void;
}

/**
 * Milliseconds for a connection to open. A round trip between regions takes up to 40 ms; a longer delay means
 * that the path is interrupted, and the attempt, which was not sent, can be sent to another owner.
 */
const connectTimeoutMs = 250;

/** Queues attempts until its connection is open. */
export class PeerLink {
    private readonly pendingAttempts = new Map<number, AttemptHandlers>();
    /** Sends what was queued until the connection is open. */
    private readonly pendingSends: ((socket: FrameSocket) => void)[] = [];
    private readonly incomingBodies: IncomingBodies;
    private frameSocket: FrameSocket | undefined;
    private lastId = 0;
    private closed = false;
    private closesWhenIdle = false;
    private detail = "the connection was closed";
    private readonly abortConnect: () => void;

    constructor(address: string, memory: MemoryGuard, private readonly handleClose: () => void) {
        this.incomingBodies = new IncomingBodies(memory);
        const upgradeRequest = request({
            ...splitAddress(address),
            path: "/v1/link",
            headers: { connection: "Upgrade", upgrade: linkProtocol },
        });
        const timer = setTimeout(
            () => upgradeRequest.destroy(new Error("connecting timed out")),
            connectTimeoutMs,
        );
        upgradeRequest.once("upgrade", (_response, socket, head) => {
            clearTimeout(timer);
            this.open(socket, head);
        });
        upgradeRequest.once("response", response => {
            response.resume();
            upgradeRequest.destroy(
                new Error(`the owner refused the link with status ${response.statusCode}`),
            );
        });
        upgradeRequest.once("error", error => {
            clearTimeout(timer);
            this.detail = error.message;
            this.handleEnd();
        });
        upgradeRequest.end();
        this.abortConnect = () => upgradeRequest.destroy(new Error("the link was closed"));
    }

    isClosed(): boolean {
        return this.closed;
    }

    /**
     * Sends an attempt and returns its id on this link. An attempt that fails with AttemptNotEncodable leaves
     * nothing behind.
     */
    sendDispatch(head: DispatchHead, body: Uint8Array, handlers: AttemptHandlers): Result<number, Failure> {
        const id = this.lastId + 1;
        const isSplit = body.length > maxWholeBodyBytes;
        const part = isSplit ? { followingBytes: body.length } : { body };
        const value = { head, ...part, fetchesAnswer: true };
        return encodeFrame({ id, content: { case: "dispatch", value } }).andThen(frame => {
            this.lastId = id;
            this.pendingAttempts.set(id, handlers);
            this.send(socket => {
                socket.send(frame);
                // The charge of the caller's body covers these bytes.
                if (isSplit && this.pendingAttempts.has(id)) {
                    socket.sendBody({ id, bytes: body, handleEnd: () => undefined });
                }
            });
            return ok(id);
        });
    }

    /** Cancels an attempt, also at its owner. */
    cancel(id: number): void {
        if (this.pendingAttempts.delete(id)) {
            this.incomingBodies.cancel(id);
            this.frameSocket?.cancelBody(id);
            this.sendEmpty(id, "cancel");
            this.closeIfIdle();
        }
    }

    /** Closes the link as soon as no attempt is pending. */
    closeWhenIdle(): void {
        this.closesWhenIdle = true;
        this.closeIfIdle();
    }

    close(): void {
        if (this.frameSocket === undefined) {
            this.abortConnect();
        }
        else {
            this.frameSocket.close();
        }
    }

    private closeIfIdle(): void {
        if (this.closesWhenIdle && this.pendingAttempts.size === 0) {
            this.close();
        }
    }

    private send(run: (socket: FrameSocket) => void): void {
        if (this.frameSocket === undefined) {
            this.pendingSends.push(run);
        }
        else {
            run(this.frameSocket);
        }
    }

    private open(socket: Socket, head: Buffer): void {
        if (head.length > 0) {
            socket.unshift(head);
        }
        const frameSocket = new FrameSocket(socket, {
            handleFrame: frame => this.handleFrame(frame),
            handleClose: () => this.handleEnd(),
        });
        this.frameSocket = frameSocket;
        this.pendingSends.splice(0).forEach(run => run(frameSocket));
    }

    private handleFrame({ content, id }: LinkFrame): void {
        // Frames about cancelled attempts are dropped.
        const attempt = this.pendingAttempts.get(id);
        if (content.case === "accepted") {
            attempt?.handleAccepted();
        }
        else if (content.case === "reply") {
            if (attempt !== undefined) {
                this.handleReply(id, attempt, content.value);
            }
            else if (content.value.awaitsFetch) {
                // The owner may have received the cancel frame before it had the answer.
                this.sendEmpty(id, "cancel");
            }
        }
        else if (content.case === "piece" && !this.incomingBodies.add(id, content.value.bytes)) {
            this.frameSocket?.cancel();
        }
    }

    private handleReply(id: number, attempt: AttemptHandlers, reply: LinkReply): void {
        const closeAttempt = (run: () => void): void => {
            this.pendingAttempts.delete(id);
            // The charge of a body ends with its attempt, which an owner can refuse before it has received the body.
            this.frameSocket?.cancelBody(id);
            run();
            this.closeIfIdle();
        };
        if (reply.followingBytes === 0) {
            closeAttempt(() => attempt.handleReply(reply));
            return;
        }
        const failure = createFailure(Code.AnswerTooLarge, { detail: "there is no memory for the answer" });
        const handleDropped = () => closeAttempt(() => attempt.handleFailure(failure));
        const options = {
            handleWhole: (body: Uint8Array) => closeAttempt(() => attempt.handleReply({ ...reply, body })),
            handleDropped,
            canClose: false,
        };
        if (reply.awaitsFetch) {
            void this.fetchAnswer(id, reply.followingBytes, options);
        }
        else if (!this.incomingBodies.open(id, reply.followingBytes, options)) {
            handleDropped();
        }
    }

    /** Asks for the body of a reply once there is room for it. */
    private async fetchAnswer(
        id: number,
        length: number,
        options: Parameters<IncomingBodies["waitToOpen"]>[2],
    ): Promise<void> {
        const opened = await this.incomingBodies.waitToOpen(id, length, options);
        if (opened) {
            this.sendEmpty(id, "fetch");
        }
        else if (this.pendingAttempts.has(id)) {
            this.sendEmpty(id, "cancel");
            options.handleDropped();
        }
    }

    private sendEmpty(id: number, kind: "cancel" | "fetch"): void {
        encodeFrame({ id, content: { case: kind, value: {} } }).map(frame =>
            this.send(socket => socket.send(frame))
        );
    }

    private handleEnd(): void {
        if (this.closed) {
            return;
        }
        this.closed = true;
        const code = this.frameSocket === undefined ? Code.PeerUnreachable : Code.PeerCut;
        const failure = createFailure(code, { detail: this.detail });
        const pendingAttempts = [...this.pendingAttempts.values()];
        this.pendingAttempts.clear();
        this.incomingBodies.close();
        this.handleClose();
        pendingAttempts.forEach(attempt => attempt.handleFailure(failure));
    }
}
