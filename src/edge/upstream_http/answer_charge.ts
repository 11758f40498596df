import type { MemoryCharge } from "../../memory/memory_charge.ts";
import type { MemoryGuard } from "../../memory/memory_guard.ts";
import { MemoryHolder } from "../../memory/memory_holder.ts";
import { findBodyCapacity } from "../http/find_body_capacity.ts";

interface Options {
    readonly memory: MemoryGuard;
    /** Most bytes of the answer. */
    readonly maxBytes: number;
    /** Ends a wait for memory when it is aborted. */
    readonly signal: AbortSignal;
}

/**
 * Answers up to this size are read although memory is short: their requests have run, and all answers together have a
 * bound of their own. A link carries them in one frame.
 */
const shortAnswerBytes = 65_536;

/** Bytes charged for an answer that is being read; they grow with an answer that does not declare its length. */
export class AnswerCharge {
    private length = 0;

    private constructor(private readonly options: Options, private readonly charge: MemoryCharge) {}

    /** `declaredBytes` is 0 when the length is not declared. Undefined when no room was found in time. */
    static async open(options: Options, declaredBytes: number): Promise<AnswerCharge | undefined> {
        const { memory, signal } = options;
        const charge = declaredBytes <= shortAnswerBytes
            ? memory.addCharge(
                MemoryHolder.UpstreamAnswer,
                declaredBytes === 0 ? shortAnswerBytes : declaredBytes,
            )
            : await memory.waitForCharge(MemoryHolder.UpstreamAnswer, declaredBytes, signal);
        return charge && new AnswerCharge(options, charge);
    }

    /**
     * Charges an answer that grows to `length` bytes. Returns a promise when that needs more than is charged; it
     * resolves to false when no room was found in time.
     */
    setLength(length: number): true | Promise<boolean> {
        const { maxBytes, memory, signal } = this.options;
        // The chunk is copied, and its buffer dropped.
        memory.recordDropped(length - this.length);
        this.length = length;
        const chargedBytes = this.charge.getBytes();
        if (length <= chargedBytes) {
            return true;
        }
        return memory.waitForBytes(this.charge, findBodyCapacity(length, maxBytes) - chargedBytes, signal);
    }

    close(): void {
        this.charge.close();
    }
}
