import { Code } from "../core/code.ts";
import { codeTable } from "../core/code_table.ts";
import { Outcome } from "../core/outcome.ts";
import type { OwnerReply } from "../forward/owner_reply.ts";
import type { Operation } from "./operation.ts";

interface Options {
    readonly totalBytes: number;
    readonly answerBytes: number;
}

/** Keeps answers for replay within size limits. The oldest are removed first; their outcomes remain. */
export class AnswerStore {
    private readonly sizes = new Map<Operation, number>();
    private bytes = 0;

    constructor(private readonly options: Options) {}

    /** Ends the operation and keeps its answer, unless the answer alone exceeds the limit. */
    add(operation: Operation, reply: OwnerReply): void {
        const size = measureAnswer(reply);
        const { answerBytes, totalBytes } = this.options;
        if (size > answerBytes) {
            operation.recordEnd(reply, removeAnswer(reply));
            return;
        }
        operation.recordEnd(reply, reply);
        this.sizes.set(operation, size);
        this.bytes += size;
        for (const [oldest] of this.sizes) {
            if (this.bytes <= totalBytes) {
                break;
            }
            this.remove(oldest);
            oldest.removeAnswer(removeAnswer(oldest.getReply()!));
        }
    }

    /** Call when the record of the operation is purged. */
    remove(operation: Operation): void {
        this.bytes -= this.sizes.get(operation) ?? 0;
        this.sizes.delete(operation);
    }
}

function measureAnswer({ answer }: OwnerReply): number {
    const headers = answer?.headers ?? [];
    const headerBytes = headers.reduce((sum, header) => sum + header.name.length + header.value.length, 0);
    return headerBytes + (answer?.body.length ?? 0);
}

function removeAnswer(reply: OwnerReply): OwnerReply {
    if (reply.answer === undefined) {
        return reply;
    }
    return reply.outcome === Outcome.Executed
        ? {
            ...reply,
            answer: undefined,
            code: Code.AnswerNotKept,
            detail: codeTable[Code.AnswerNotKept].summary,
        }
        : { ...reply, answer: undefined };
}
