import type { Socket } from "node:net";
import { encodePieceHead } from "./encode_piece_head.ts";
import type { OutgoingBody } from "./outgoing_body.ts";

/** Bytes of a body in one frame; frames of other attempts wait for at most the bytes that are buffered. */
const pieceBytes = 65_536;
/** Bytes in the buffer of the connection from which the bodies wait. */
const maxBufferedBytes = 262_144;

interface PendingBody {
    readonly body: OutgoingBody;
    offset: number;
}

/** Writes the pieces of several bodies in turn, so that a large body does not hold up others. */
export class PieceWriter {
    private readonly pending: PendingBody[] = [];
    private handleEmpty: () => void = () => undefined;

    constructor(private readonly socket: Socket) {
        socket.on("drain", () => this.write());
    }

    add(body: OutgoingBody): void {
        this.pending.push({ body, offset: 0 });
        this.write();
    }

    /** Drops what is left of a body. */
    cancel(id: number): void {
        for (const entry of this.pending.filter(({ body }) => body.id === id)) {
            this.pending.splice(this.pending.indexOf(entry), 1);
            entry.body.handleEnd();
        }
        this.checkEmpty();
    }

    /** Calls `listener` once no piece is left; at once when there is none. */
    drain(listener: () => void): void {
        this.handleEmpty = listener;
        this.checkEmpty();
    }

    /** Drops all bodies; the connection has closed. */
    close(): void {
        this.pending.splice(0).forEach(({ body }) => body.handleEnd());
        this.checkEmpty();
    }

    private write(): void {
        while (this.socket.writable && this.socket.writableLength < maxBufferedBytes) {
            const entry = this.pending.shift();
            if (entry === undefined) {
                break;
            }
            const { bytes, id } = entry.body;
            const piece = bytes.subarray(entry.offset, entry.offset + pieceBytes);
            entry.offset += piece.length;
            this.socket.cork();
            this.socket.write(encodePieceHead(id, piece.length));
            this.socket.write(piece);
            this.socket.uncork();
            if (entry.offset < bytes.length) {
                this.pending.push(entry);
            }
            else {
                entry.body.handleEnd();
            }
        }
        this.checkEmpty();
    }

    private checkEmpty(): void {
        if (this.pending.length === 0) {
            const listener = this.handleEmpty;
            this.handleEmpty = () => undefined;
            listener();
        }
    }
}
