/**
 * Frames over a TCP connection: protobuf messages, each preceded by its length.
 *
 * @example
 * ```ts
 * const frames = new FrameSocket(socket, { handleFrame, handleClose });
 * encodeFrame({ id: 1, content: { case: "cancel", value: {} } }).map(frame => frames.send(frame));
 * ```
 *
 * @module
 */
import { sizeDelimitedDecodeStream } from "@bufbuild/protobuf/wire";
import type { Socket } from "node:net";
import { type LinkFrame, LinkFrameSchema } from "../../gen/zinniaglade/v1/control_pb.ts";
import type { OutgoingBody } from "./outgoing_body.ts";
import { PieceWriter } from "./piece_writer.ts";

interface Handlers {
    readonly handleFrame: (frame: LinkFrame) => void;
    /** Called once, after the last frame. */
    readonly handleClose: () => void;
}

/** Milliseconds of silence before keep-alive probes, so that connections to lost peers do not stay open. */
const keepAliveDelayMs = 5_000;

/** Most bytes of a frame: a head of an attempt and a short body, or a piece of a longer one. */
const maxFrameBytes = 1_048_576;

/** A connection that carries frames in both directions. */
export class FrameSocket {
    private readonly closePromise: Promise<void>;
    private readonly pieces: PieceWriter;

    constructor(private readonly socket: Socket, handlers: Handlers) {
        socket.setNoDelay(true);
        socket.setKeepAlive(true, keepAliveDelayMs);
        socket.setTimeout(0);
        socket.on("error", () => socket.destroy());
        this.pieces = new PieceWriter(socket);
        this.closePromise = this.read(handlers);
    }

    /** Drops the encoded frame on a closed connection; a write error would discard those still being sent. */
    send(frame: Uint8Array): void {
        if (this.socket.writable) {
            this.socket.write(frame);
        }
    }

    /** Sends a body in pieces, behind the frame that announces its length. */
    sendBody(body: OutgoingBody): void {
        if (this.socket.writable) {
            this.pieces.add(body);
        }
        else {
            body.handleEnd();
        }
    }

    /** Drops what is left of the body of an attempt. */
    cancelBody(id: number): void {
        this.pieces.cancel(id);
    }

    /** Sends the buffered frames and bodies and closes the connection. */
    close(): void {
        this.pieces.drain(() => this.socket.end());
    }

    /** Resolves when the peer has closed the connection too, or when it was cancelled. */
    waitForClose(): Promise<void> {
        return this.closePromise;
    }

    /** Closes the connection at once. */
    cancel(): void {
        this.socket.destroy();
    }

    private async read({ handleClose, handleFrame }: Handlers): Promise<void> {
        try {
            for await (
                const frame of sizeDelimitedDecodeStream(LinkFrameSchema, this.socket, {
                    readMaxBytes: maxFrameBytes,
                })
            ) {
                // Each frame belongs to an attempt; other bytes may decode to frames without an id.
                if (frame.id === 0) {
                    break;
                }
                handleFrame(frame);
            }
        }
        catch {
            // A broken connection and malformed frames are handled like a close of the connection, below.
        }
        this.socket.destroy();
        this.pieces.close();
        handleClose();
    }
}
