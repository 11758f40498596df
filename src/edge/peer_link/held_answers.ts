import type { FrameSocket } from "./frame_socket.ts";
import type { OutgoingBody } from "./outgoing_body.ts";

interface HeldAnswer {
    readonly body: OutgoingBody;
    readonly handleEnd: () => void;
}

/** Answers of one link that are kept until the entry daemon has room for them. */
export class HeldAnswers {
    private readonly answers = new Map<number, HeldAnswer>();
    private closed = false;

    constructor(private readonly socket: FrameSocket) {}

    /** `handleEnd` is called once, when the answer is passed to the connection or dropped. */
    add(body: OutgoingBody, handleEnd: () => void): void {
        this.answers.set(body.id, { body, handleEnd });
        if (this.closed) {
            this.cancel(body.id);
        }
    }

    /** Sends the answer to an attempt, if there is one. */
    send(id: number): void {
        const answer = this.answers.get(id);
        if (answer !== undefined) {
            this.answers.delete(id);
            this.socket.sendBody(answer.body);
            answer.handleEnd();
        }
    }

    /** Drops the answer to an attempt, if there is one. */
    cancel(id: number): void {
        const answer = this.answers.get(id);
        if (answer !== undefined) {
            this.answers.delete(id);
            answer.body.handleEnd();
            answer.handleEnd();
        }
    }

    /** Drops all answers, also those that are added later: the connection has closed. */
    close(): void {
        this.closed = true;
        [...this.answers.keys()].forEach(id => this.cancel(id));
    }
}
