import type { PendingAnswer } from "./pending_answer.ts";

/** Bytes of all answers that are being read: one as large as a route allows without a limit of its own. */
const maxBytes = 67_108_864;

/**
 * Counts the bytes that the unfinished answers of all upstreams hold. Beyond the limit it cancels the answer that holds
 * most. The one that adds bytes may be small, and one large answer that stalls would end all others until its time limit.
 */
export class AnswerMemoryLimiter {
    /** Bytes by answer, without those that were cancelled. */
    private readonly bytesByAnswer = new Map<PendingAnswer, number>();
    private bytes = 0;

    /** Begins to count the bytes of an answer. */
    register(holder: PendingAnswer): void {
        this.release(holder);
        this.bytesByAnswer.set(holder, 0);
    }

    /** Counts bytes until the answer is released or cancelled; those that arrive later do not count. */
    addBytes(holder: PendingAnswer, bytes: number): void {
        const heldBytes = this.bytesByAnswer.get(holder);
        if (heldBytes === undefined) {
            return;
        }
        this.bytesByAnswer.set(holder, heldBytes + bytes);
        this.bytes += bytes;
        if (this.bytes > maxBytes) {
            this.cancelLargest();
        }
    }

    release(holder: PendingAnswer): void {
        this.bytes -= this.bytesByAnswer.get(holder) ?? 0;
        this.bytesByAnswer.delete(holder);
    }

    private cancelLargest(): void {
        const [largest] = [...this.bytesByAnswer].reduce((first, second) =>
            second[1] > first[1] ? second : first
        );
        // Released at once, because its connection closes later and other answers add bytes until then.
        this.release(largest);
        largest.cancel();
    }
}
