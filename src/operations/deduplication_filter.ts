/**
 * Admits each operation to the owner's pipeline at most once, and answers copies from its record.
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
    /** Queue, dispatch and settle. */
    readonly inner: Filter<OwnerRequest, OwnerReply>;
}

/** The owner's register of attempts and operations. Always returns a reply. */
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

    /** Each receipt without a key is its own operation. */
    private async runAttempt(request: OwnerRequest): Promise<OwnerReply> {
        const { attempts, identity } = this.options;
        const addressed = request.ownerIncarnation ?? identity.incarnation;
        // The addressed incarnation may have promised that the attempt will not run.
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
        // The end of the hop cancels idempotent work also after dispatch.
        const signal = request.route.idempotent ? request.signal : registered.value.signal;
        const reply = await this.run({ ...request, signal });
        request.signal.removeEventListener("abort", revoke);
        attempts.recordEnd(request);
        return reply;
    }

    private async runKey(request: OwnerRequest, text: string): Promise<OwnerReply> {
        const { identity, operations } = this.options;
        const key = parseKey(text).unwrapOr(undefined);
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
        const operation = operations.find(text);
        if (operation === undefined) {
            return this.runOperation(request, text, key, fingerprint);
        }
        const recorded = operation.options.fingerprint;
        if (recorded !== undefined && recorded !== fingerprint) {
            return {
                ...this.refuse(request, createFailure(Code.KeyReusedForOtherRequest)),
                keyRecorded: true,
            };
        }
        return this.buildCopy(request, operation.getReply() ?? await operation.wait());
    }

    /** Runs the first copy of a request with a key; the hop's end does not cancel it, as copies may wait. */
    private async runOperation(
        request: OwnerRequest,
        text: string,
        key: IdempotencyKey,
        fingerprint: string,
    ): Promise<OwnerReply> {
        const { attempts, operations } = this.options;
        if (this.isLeaving()) {
            return this.close(request, text, key, createFailure(Code.OwnerLeaving));
        }
        const registered = attempts.register(request);
        if (registered.isErr()) {
            return this.close(request, text, key, registered.error);
        }
        const attempt = registered.value;
        const added = operations.add(text, { key, fingerprint, id: request, attempt });
        if (added.isErr()) {
            attempts.recordEnd(request);
            return added.error.outcome === Outcome.NotExecuted
                ? this.close(request, text, key, added.error)
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
        // A revocation may have ended the operation before; its reply is the final one.
        return this.buildCopy(request, await operation.wait());
    }

    /** Refuses the first copy of a request with a key, and with it all later copies. */
    private close(request: OwnerRequest, text: string, key: IdempotencyKey, failure: Failure): OwnerReply {
        const refused = { ...this.refuse(request, failure), outcome: Outcome.NotExecuted, keyRecorded: true };
        const closed = this.options.operations.close(text, key, refused);
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

    /** The recorded reply, addressed to another copy of the request, with the present state. */
    private buildCopy(request: OwnerRequest, reply: OwnerReply): OwnerReply {
        const upstream = this.options.states.build(request.upstreamId);
        return { ...reply, requestId: request.requestId, attempt: request.attempt, upstream };
    }

    private isLeaving(): boolean {
        const state = this.options.daemonState.getState();
        return state === DaemonState.Draining || state === DaemonState.Closed;
    }
}
