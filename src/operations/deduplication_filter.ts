/**
 * Runs each operation through the owner's pipeline at most once and answers duplicates from its record.
 *
 * @example
 * ```ts
 * const inner = Pipeline.start(queueFilter).pipe(dispatchFilter).pipe(settleFilter);
 * const owner = new DeduplicationFilter({ identity, attempts, operations, states, daemonState, inner });
 * ```
 *
 * @module
 */
import { ok, type Result } from "neverthrow";
import { Code } from "../core/code.ts";
import { createFailure } from "../core/create_failure.ts";
import type { Failure } from "../core/failure.ts";
import type { Filter } from "../core/filter.ts";
import { Outcome } from "../core/outcome.ts";
import { buildOwnerReply } from "../forward/build_owner_reply.ts";
import type { OwnerReply } from "../forward/owner_reply.ts";
import { DaemonState } from "../lifecycle/daemon_state.ts";
import type { DaemonStateReader } from "../lifecycle/daemon_state_reader.ts";
import type { OwnerRequest } from "../queue/owner_request.ts";
import type { UpstreamStateBuilder } from "../settle/upstream_state_builder.ts";
import type { AttemptTable } from "./attempt_table.ts";
import { computeFingerprint } from "./compute_fingerprint.ts";
import type { IdempotencyKey } from "./idempotency_key.ts";
import type { Operation } from "./operation.ts";
import type { OperationTable } from "./operation_table.ts";
import type { OwnerIdentity } from "./owner_identity.ts";
import { parseKey } from "./parse_key.ts";

interface Options {
    readonly identity: OwnerIdentity;
    readonly attempts: AttemptTable;
    readonly operations: OperationTable;
    readonly states: UpstreamStateBuilder;
    readonly daemonState: DaemonStateReader;
    /** Pipeline of queue, dispatch and settle. */
    readonly inner: Filter<OwnerRequest, OwnerReply>;
}

/** Deduplicates attempts and operations at the owner. Always returns a reply, never a failure. */
export class DeduplicationFilter implements Filter<OwnerRequest, OwnerReply> {
    constructor(private readonly options: Options) {}

    async apply(request: OwnerRequest): Promise<Result<OwnerReply, Failure>> {
        const { route, idempotencyKey } = request;
        return ok(
            route.idempotent || idempotencyKey === undefined
                ? await this.runAttempt(request)
                : await this.runKey(request, idempotencyKey),
        );
    }

    /** Runs an attempt without a key, which is an operation of its own. */
    private async runAttempt(request: OwnerRequest): Promise<OwnerReply> {
        const { attempts, identity } = this.options;
        const addressed = request.ownerIncarnation ?? identity.incarnation;
        // The addressed incarnation may have confirmed a revocation of the attempt, which must then not run.
        if (!request.route.idempotent && addressed !== identity.incarnation) {
            return this.refuse(request, createFailure(Code.OwnerRestarted));
        }
        const registered = attempts.register(request);
        if (registered.isErr()) {
            return this.refuse(request, registered.error);
        }
        const revoke = () => void attempts.revoke(request);
        request.signal.addEventListener("abort", revoke, { once: true });
        if (request.signal.aborted) {
            revoke();
        }
        // When the hop ends, idempotent work is cancelled even after dispatch.
        const signal = request.route.idempotent ? request.signal : registered.value.signal;
        const reply = await this.run({ ...request, signal });
        request.signal.removeEventListener("abort", revoke);
        attempts.recordEnd(request);
        return reply;
    }

    private async runKey(request: OwnerRequest, keyText: string): Promise<OwnerReply> {
        const { identity, operations } = this.options;
        const key = parseKey(keyText).unwrapOr(undefined);
        if (key === undefined) {
            return this.refuse(request, createFailure(Code.KeyMalformed));
        }
        if (key.ownerId !== identity.ownerId) {
            return this.refuse(request, createFailure(Code.NotOwner, { outcome: Outcome.Unknown }));
        }
        if (key.incarnation !== identity.incarnation) {
            return this.refuse(request, createFailure(Code.KeyOfOtherIncarnation));
        }
        const fingerprint = computeFingerprint(request);
        const operation = operations.find(keyText);
        if (operation === undefined) {
            return this.runOperation(request, keyText, key, fingerprint);
        }
        const recorded = operation.options.fingerprint;
        if (recorded !== undefined && recorded !== fingerprint) {
            return {
                ...this.refuse(request, createFailure(Code.KeyReusedForOtherRequest)),
                keyRecorded: true,
            };
        }
        return this.buildDuplicateReply(request, operation.getReply() ?? await operation.wait());
    }

    /** Runs the first copy of a request with a key; it outlives its hop, because other copies may wait. */
    private async runOperation(
        request: OwnerRequest,
        keyText: string,
        key: IdempotencyKey,
        fingerprint: string,
    ): Promise<OwnerReply> {
        const { attempts, operations } = this.options;
        if (this.isLeaving()) {
            return this.close(request, keyText, key, createFailure(Code.OwnerLeaving));
        }
        const registered = attempts.register(request);
        if (registered.isErr()) {
            return this.close(request, keyText, key, registered.error);
        }
        const attempt = registered.value;
        const added = operations.add(keyText, { key, fingerprint, id: request, attempt });
        if (added.isErr()) {
            attempts.recordEnd(request);
            return added.error.outcome === Outcome.NotExecuted
                ? this.close(request, keyText, key, added.error)
                : this.refuse(request, added.error);
        }
        return this.runRecorded(request, added.value, attempt.signal);
    }

    private async runRecorded(
        request: OwnerRequest,
        operation: Operation,
        signal: AbortSignal,
    ): Promise<OwnerReply> {
        const { attempts, operations } = this.options;
        const reply = { ...await this.run({ ...request, signal }), keyRecorded: true };
        attempts.recordEnd(request);
        operations.recordEnd(operation, reply);
        // A revocation may have ended the operation first; then its reply is the final one.
        return this.buildDuplicateReply(request, await operation.wait());
    }

    /** Refuses the first copy of a request with a key, and thereby all later copies. */
    private close(request: OwnerRequest, keyText: string, key: IdempotencyKey, failure: Failure): OwnerReply {
        const refused = { ...this.refuse(request, failure), outcome: Outcome.NotExecuted, keyRecorded: true };
        const closed = this.options.operations.close(keyText, key, refused);
        return closed.isOk() ? refused : this.refuse(request, closed.error);
    }

    private async run(request: OwnerRequest): Promise<OwnerReply> {
        if (this.isLeaving()) {
            return this.refuse(request, createFailure(Code.OwnerLeaving));
        }
        const result = await this.options.inner.apply(request);
        return result.unwrapOr(undefined) ?? this.refuse(request, result._unsafeUnwrapErr());
    }

    private refuse(request: OwnerRequest, failure: Failure): OwnerReply {
        const upstream = this.options.states.build(request.upstreamId);
        return buildOwnerReply(this.options.identity, request, { ...failure, upstream });
    }

    /** Addresses the recorded reply to another copy of the request and adds the current upstream state. */
    private buildDuplicateReply(request: OwnerRequest, reply: OwnerReply): OwnerReply {
        const upstream = this.options.states.build(request.upstreamId);
        return { ...reply, requestId: request.requestId, attempt: request.attempt, upstream };
    }

    private isLeaving(): boolean {
        const state = this.options.daemonState.getState();
        return state === DaemonState.Draining || state === DaemonState.Closed;
    }
}
