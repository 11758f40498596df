/**
 * Records of idempotency keys at their owner. A key is executed only when it has not expired and has no
 * record. Purging a record raises the watermark to its expiry; no key without a record that expires at or
 * before the watermark is executed.
 *
 * @example
 * ```ts
 * const table = new OperationTable({ clock });
 * const operation = table.add(keyText, { key, fingerprint, id, attempt });
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

/** Operations by idempotency key, limited in number and in size. */
export class OperationTable {
    private readonly clock: Clock;
    private readonly limits: OperationLimits;
    private readonly answers: AnswerStore;
    private readonly operations = new Map<string, Operation>();
    /** Keys by the second in which they expire. */
    private readonly expiring = new Map<number, string[]>();
    private purgedSecond = 0;
    /** Highest expiry of a purged record in milliseconds since the epoch. */
    private watermarkMs = 0;

    constructor(options: Options) {
        this.clock = options.clock;
        this.limits = options.limits ?? defaultOperationLimits;
        this.answers = new AnswerStore(this.limits);
    }

    find(keyText: string): Operation | undefined {
        return this.operations.get(keyText);
    }

    /** Starts the record of a new operation; fails with KeyExpired or OperationTableFull. */
    add(keyText: string, { key, fingerprint, id, attempt }: NewOperation): Result<Operation, Failure> {
        this.purge();
        const expired = this.checkExpiry(key.expiresAtMs);
        if (expired !== undefined) {
            return err(expired);
        }
        if (this.operations.size >= this.limits.records) {
            return err(createFailure(Code.OperationTableFull));
        }
        return ok(this.create(keyText, { expiresAtMs: key.expiresAtMs, fingerprint, id, attempt }));
    }

    /** Ends an operation; does nothing when it has ended before. */
    recordEnd(operation: Operation, reply: OwnerReply): void {
        if (operation.getReply() === undefined) {
            this.answers.add(operation, reply);
        }
    }

    /**
     * Closes a key that has no record as not executed, so that no copy of its request can run. Fails when
     * this cannot be recorded; the outcome is then unknown, because a copy may run later or may have run
     * before.
     */
    close(keyText: string, key: IdempotencyKey, reply: OwnerReply): Result<void, Failure> {
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
        this.create(keyText, fields).recordEnd(reply, reply);
        return ok(undefined);
    }

    /** Failure when a key without a record must not be executed. */
    protected checkExpiry(expiresAtMs: number): Failure | undefined {
        const nowMs = this.clock.getWallMs();
        if (expiresAtMs <= nowMs || expiresAtMs <= this.watermarkMs) {
            return createFailure(Code.KeyExpired);
        }
        return expiresAtMs > nowMs + this.limits.validMs
            ? createFailure(Code.KeyExpired, { detail: "the expiry of the idempotency key is too far ahead" })
            : undefined;
    }

    private create(keyText: string, options: Operation["options"]): Operation {
        const operation = new Operation(options);
        this.operations.set(keyText, operation);
        this.addExpiry(Math.ceil(options.expiresAtMs / 1000), keyText);
        return operation;
    }

    private addExpiry(second: number, keyText: string): void {
        const keyTexts = this.expiring.get(second);
        if (keyTexts === undefined) {
            this.expiring.set(second, [keyText]);
        }
        else {
            keyTexts.push(keyText);
        }
    }

    /** Purges expired records; running operations are checked again a second later. */
    private purge(): void {
        const nowSecond = Math.floor(this.clock.getWallMs() / 1000);
        if (nowSecond === this.purgedSecond) {
            return;
        }
        this.purgedSecond = nowSecond;
        const due = [...this.expiring].filter(([second]) => second <= nowSecond);
        for (const [second, keyTexts] of due) {
            this.expiring.delete(second);
            for (const keyText of keyTexts) {
                this.purgeOne(keyText, nowSecond);
            }
        }
    }

    private purgeOne(keyText: string, nowSecond: number): void {
        const operation = this.operations.get(keyText)!;
        if (operation.getReply() === undefined) {
            this.addExpiry(nowSecond + 1, keyText);
            return;
        }
        this.operations.delete(keyText);
        this.answers.remove(operation);
        this.watermarkMs = Math.max(this.watermarkMs, operation.options.expiresAtMs);
    }
}
