/**
 * Records of idempotency keys at their owner. A key is executed only when it is not expired and no record of it
 * exists; a purged record leaves the watermark behind, below which no key without a record is executed.
 *
 * @example
 * ```ts
 * const table = new OperationTable({ clock });
 * const operation = table.add(text, key, fingerprint, id, attempt);
 * ```
 *
 * @module
 */
import { err, ok, type Result } from "neverthrow";
import type { Clock } from "../core/clock.ts";
import { Code } from "../core/code.ts";
import { createFailure } from "../core/create_failure.ts";
import type { Failure } from "../core/failure.ts";
import { Outcome } from "../core/outcome.ts";
import type { OwnerReply } from "../forward/owner_reply.ts";
import { AnswerStore } from "./answer_store.ts";
import type { AttemptId } from "./attempt_id.ts";
import { defaultOperationLimits } from "./default_operation_limits.ts";
import type { IdempotencyKey } from "./idempotency_key.ts";
import { Operation } from "./operation.ts";
import type { OperationLimits } from "./operation_limits.ts";
import type { RunningAttempt } from "./running_attempt.ts";

interface Options {
    readonly clock: Clock;
    readonly limits?: OperationLimits;
}

interface NewOperation {
    readonly key: IdempotencyKey;
    readonly fingerprint: string;
    readonly id: AttemptId;
    readonly attempt: RunningAttempt;
}

/** Table of operations, bounded by count and bytes. */
export class OperationTable {
    private readonly clock: Clock;
    private readonly limits: OperationLimits;
    private readonly answers: AnswerStore;
    private readonly operations = new Map<string, Operation>();
    /** Texts of keys by the second in which they expire. */
    private readonly expiring = new Map<number, string[]>();
    private purgedSecond = 0;
    /** Highest expiry of a purged record in milliseconds since the epoch. */
    private watermarkMs = 0;

    constructor(options: Options) {
        this.clock = options.clock;
        this.limits = options.limits ?? defaultOperationLimits;
        this.answers = new AnswerStore(this.limits);
    }

    find(text: string): Operation | undefined {
        return this.operations.get(text);
    }

    /** Starts the record of a new operation; fails with 2008 for an expired key and 2010 when full. */
    add(text: string, { key, fingerprint, id, attempt }: NewOperation): Result<Operation, Failure> {
        this.purge();
        const expired = this.checkExpiry(key.expiresAtMs);
        if (expired !== undefined) {
            return err(expired);
        }
        if (this.operations.size >= this.limits.records) {
            return err(createFailure(Code.OperationTableFull));
        }
        return ok(this.create(text, { expiresAtMs: key.expiresAtMs, fingerprint, id, attempt }));
    }

    /** Ends an operation; does nothing when it has ended before. */
    recordEnd(operation: Operation, reply: OwnerReply): void {
        if (operation.getReply() === undefined) {
            this.answers.add(operation, reply);
        }
    }

    /**
     * Records a key without a record as not executed, so that no copy of its request can run. Fails when that
     * cannot be recorded: then the outcome is unknown, because a copy may run later or may have run before.
     */
    close(text: string, key: IdempotencyKey, reply: OwnerReply): Result<void, Failure> {
        this.purge();
        const expired = this.checkExpiry(key.expiresAtMs);
        if (expired !== undefined) {
            return err(expired);
        }
        if (this.operations.size >= this.limits.records + this.limits.closedRecords) {
            return err(createFailure(Code.OperationTableFull, { outcome: Outcome.Unknown }));
        }
        const fields = {
            expiresAtMs: key.expiresAtMs,
            fingerprint: undefined,
            id: reply,
            attempt: undefined,
        };
        this.create(text, fields).recordEnd(reply, reply);
        return ok(undefined);
    }

    /** Present when a key without a record must not be executed. */
    protected checkExpiry(expiresAtMs: number): Failure | undefined {
        const nowMs = this.clock.getWallMs();
        if (expiresAtMs <= nowMs || expiresAtMs <= this.watermarkMs) {
            return createFailure(Code.KeyExpired);
        }
        return expiresAtMs > nowMs + this.limits.validMs
            ? createFailure(Code.KeyExpired, { detail: "the expiry of the idempotency key is too far ahead" })
            : undefined;
    }

    private create(text: string, options: Operation["options"]): Operation {
        const operation = new Operation(options);
        this.operations.set(text, operation);
        this.addExpiry(Math.ceil(options.expiresAtMs / 1000), text);
        return operation;
    }

    private addExpiry(second: number, text: string): void {
        const texts = this.expiring.get(second);
        if (texts === undefined) {
            this.expiring.set(second, [text]);
        }
        else {
            texts.push(text);
        }
    }

    /** Purges expired records; running ones are looked at again a second later. */
    private purge(): void {
        const nowSecond = Math.floor(this.clock.getWallMs() / 1000);
        if (nowSecond === this.purgedSecond) {
            return;
        }
        this.purgedSecond = nowSecond;
        const due = [...this.expiring].filter(([second]) => second <= nowSecond);
        for (const [second, texts] of due) {
            this.expiring.delete(second);
            for (const text of texts) {
                this.purgeOne(text, nowSecond);
            }
        }
    }

    private purgeOne(text: string, nowSecond: number): void {
        const operation = this.operations.get(text)!;
        if (operation.getReply() === undefined) {
            this.addExpiry(nowSecond + 1, text);
            return;
        }
        this.operations.delete(text);
        this.answers.remove(operation);
        this.watermarkMs = Math.max(this.watermarkMs, operation.options.expiresAtMs);
    }
}
