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
import { splitAddress } from "../http/split_address.ts";
import { encodeFrame } from "./encode_frame.ts";
import { FrameSocket } from "./frame_socket.ts";
import { linkProtocol } from "./link_protocol.ts";

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
    private readonly pendingFrames: Uint8Array[] = [];
    private frameSocket: FrameSocket | undefined;
    private lastId = 0;
    private closed = false;
    private closesWhenIdle = false;
    private detail = "the connection was closed";
    private readonly abortConnect: () => void;

    constructor(address: string, private readonly handleClose: () => void) {
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
        const frame = encodeFrame({ id, content: { case: "dispatch", value: { head, body } } });
        return frame.andThen(bytes => {
            this.lastId = id;
            this.pendingAttempts.set(id, handlers);
            this.sendFrame(bytes);
            return ok(id);
        });
    }

    /** Cancels an attempt, also at its owner. */
    cancel(id: number): void {
        if (this.pendingAttempts.delete(id)) {
            encodeFrame({ id, content: { case: "cancel", value: {} } }).map(frame => this.sendFrame(frame));
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

    private sendFrame(frame: Uint8Array): void {
        if (this.frameSocket === undefined) {
            this.pendingFrames.push(frame);
        }
        else {
            this.frameSocket.send(frame);
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
        this.pendingFrames.splice(0).forEach(frame => frameSocket.send(frame));
    }

    private handleFrame({ content, id }: LinkFrame): void {
        // Frames about cancelled attempts are dropped.
        const attempt = this.pendingAttempts.get(id);
        if (content.case === "accepted") {
            attempt?.handleAccepted();
        }
        else if (content.case === "reply") {
            this.pendingAttempts.delete(id);
            attempt?.handleReply(content.value);
            this.closeIfIdle();
        }
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
        this.handleClose();
        pendingAttempts.forEach(attempt => attempt.handleFailure(failure));
    }
}
