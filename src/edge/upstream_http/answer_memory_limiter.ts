import type { PendingAnswer } from "./pending_answer.ts";

/**
 * Counts the bytes of the incomplete answers of all upstreams. Beyond the limit it cancels the largest
 * answer, not the one that adds bytes: that one may be small, and a large answer that stalls would end all
 * others until its time limit.
 */
export class AnswerMemoryLimiter {
    /** Bytes of each answer that was not cancelled. */
    private readonly bytesByAnswer = new Map<PendingAnswer, number>();
    private bytes = 0;

    /** `maxBytes` is the limit of all answers together, and so of each one. */
    constructor(private readonly maxBytes: number) {}

    /** Starts to count the bytes of an answer. */
    register(answer: PendingAnswer): void {
        this.release(answer);
        this.bytesByAnswer.set(answer, 0);
    }

    /** Counts bytes until the answer is released or cancelled; those that arrive later do not count. */
    addBytes(answer: PendingAnswer, bytes: number): void {
        const answerBytes = this.bytesByAnswer.get(answer);
        if (answerBytes === undefined) {
            return;
        }
        this.bytesByAnswer.set(answer, answerBytes + bytes);
        this.bytes += bytes;
        if (this.bytes > this.maxBytes) {
            this.cancelLargest();
        }
    }

    release(answer: PendingAnswer): void {
        this.bytes -= this.bytesByAnswer.get(answer) ?? 0;
        this.bytesByAnswer.delete(answer);
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
