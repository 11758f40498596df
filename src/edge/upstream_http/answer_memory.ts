import type { AnswerHolder } from "./answer_holder.ts";

/** Bytes of all answers that are being read: one as large as a route allows without a limit of its own. */
const maxBytes = 67_108_864;

/**
 * Counts the bytes that the unfinished answers of all upstreams hold. Beyond the limit it cancels the answer that holds
 * most. The one that adds bytes may be small, and one large answer that stalls would end all others until its time limit.
 */
export class AnswerMemory {
    /** Bytes by answer, without those that were cancelled. */
    private readonly held = new Map<AnswerHolder, number>();
    private bytes = 0;

    /** Begins to count the bytes of an answer. */
    open(holder: AnswerHolder): void {
        this.release(holder);
        this.held.set(holder, 0);
    }

    /** Counts bytes until the answer is released or cancelled; those that arrive later do not count. */
    add(holder: AnswerHolder, bytes: number): void {
        const heldBytes = this.held.get(holder);
        if (heldBytes === undefined) {
            return;
        }
        this.held.set(holder, heldBytes + bytes);
        this.bytes += bytes;
        if (this.bytes > maxBytes) {
            this.cancelLargest();
        }
    }

    release(holder: AnswerHolder): void {
        this.bytes -= this.held.get(holder) ?? 0;
        this.held.delete(holder);
    }

    private cancelLargest(): void {
        const [largest] = [...this.held].reduce((first, second) => second[1] > first[1] ? second : first);
        // Released at once, because its connection closes later and other answers add bytes until then.
        this.release(largest);
        largest.cancel();
    }
}
