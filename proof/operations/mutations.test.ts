import fc from "fast-check";
import { err, ok, type Result } from "neverthrow";
import assert from "node:assert/strict";
import { test } from "node:test";
import type { Clock } from "../../src/core/clock.ts";
import { Code } from "../../src/core/code.ts";
import { createFailure } from "../../src/core/create_failure.ts";
import type { Failure } from "../../src/core/failure.ts";
import type { Filter } from "../../src/core/filter.ts";
import { Outcome } from "../../src/core/outcome.ts";
import type { Forwarder } from "../../src/forward/forwarder.ts";
import type { OwnerReply } from "../../src/forward/owner_reply.ts";
import { RevokeState } from "../../src/forward/revoke_state.ts";
import type { AttemptId } from "../../src/operations/attempt_id.ts";
import { AttemptTable } from "../../src/operations/attempt_table.ts";
import { encodeKey } from "../../src/operations/encode_key.ts";
import type { Operation } from "../../src/operations/operation.ts";
import { OperationTable } from "../../src/operations/operation_table.ts";
import type { OwnerIdentity } from "../../src/operations/owner_identity.ts";
import { parseKey } from "../../src/operations/parse_key.ts";
import type { Revoker } from "../../src/operations/revoker.ts";
import { RunningAttempt } from "../../src/operations/running_attempt.ts";
import type { OwnerRequest } from "../../src/queue/owner_request.ts";
import type { RoutedRequest } from "../../src/route/routed_request.ts";
import { checkHistory } from "../check_history.ts";
import type { Predicate } from "../predicate.ts";
import { AtMostOncePredicate } from "../predicates/at_most_once_predicate.ts";
import { OwnAnswerPredicate } from "../predicates/own_answer_predicate.ts";
import { TruthfulOutcomePredicate } from "../predicates/truthful_outcome_predicate.ts";
import { createFaultListArbitrary } from "./create_fault_list_arbitrary.ts";
import { DaemonVariant } from "./daemon_variant.ts";
import { FaultKind } from "./fault_kind.ts";
import { runOperations } from "./run_operations.ts";

const maxRuns = 300;

/** Adds a test that `predicate` finds a violation by the mutated daemon within `maxRuns` runs. */
function addMutationTest(
    name: string,
    predicate: Predicate,
    variant: DaemonVariant,
    kinds?: FaultKind[],
): void {
    test(`the ${predicate.name} predicate detects a daemon ${name}`, async context => {
        const runs = fc.sample(fc.tuple(fc.integer(), createFaultListArbitrary(kinds)), {
            seed: 1,
            numRuns: maxRuns,
        });
        for (const [index, [seed, faults]] of runs.entries()) {
            if (checkHistory(await runOperations({ seed, faults, variant }), [predicate]).length > 0) {
                context.diagnostic(`found in run ${index + 1}`);
                return;
            }
        }
        assert.fail(`no violation in ${maxRuns} runs`);
    });
}

class NoTombstoneTable extends AttemptTable {
    private readonly attempts = new Map<string, RunningAttempt>();

    override register(id: AttemptId): Result<RunningAttempt, Failure> {
        const attempt = new RunningAttempt();
        this.attempts.set(`${id.attempt}/${id.requestId}`, attempt);
        return ok(attempt);
    }

    override recordDispatch(request: OwnerRequest): Result<void, Failure> {
        const dispatched = this.attempts.get(`${request.attempt}/${request.requestId}`)?.recordDispatch();
        return dispatched === true ? ok(undefined) : err(createFailure(Code.Revoked));
    }

    override revoke(id: AttemptId): RevokeState {
        const revoked = this.attempts.get(`${id.attempt}/${id.requestId}`)?.revoke() ?? true;
        return revoked ? RevokeState.Revoked : RevokeState.Dispatched;
    }
}

class NoRevocationCheckTable extends AttemptTable {
    override recordDispatch(): Result<void, Failure> {
        return ok(undefined);
    }
}

class DuplicateExecutionTable extends AttemptTable {
    override register(id: AttemptId): Result<RunningAttempt, Failure> {
        return super.register(id).orElse(failure =>
            failure.code === Code.Revoked ? err(failure) : ok(new RunningAttempt())
        );
    }

    override recordDispatch(request: OwnerRequest): Result<void, Failure> {
        void super.recordDispatch(request);
        return ok(undefined);
    }
}

class NoWatermarkTable extends OperationTable {
    constructor(private readonly wallClock: Clock) {
        super({ clock: wallClock });
    }

    protected override checkExpiry(expiresAtMs: number): Failure | undefined {
        const expired = expiresAtMs <= this.wallClock.getWallMs();
        return expired ? createFailure(Code.KeyExpired) : undefined;
    }
}

class ReopeningTable extends OperationTable {
    override find(text: string): Operation | undefined {
        return super.find(this.getOpenText(text));
    }

    override add(
        text: string,
        operation: Parameters<OperationTable["add"]>[1],
    ): ReturnType<OperationTable["add"]> {
        return super.add(this.getOpenText(text), operation);
    }

    override close(
        text: string,
        ...rest: [Parameters<OperationTable["close"]>[1], Parameters<OperationTable["close"]>[2]]
    ): ReturnType<OperationTable["close"]> {
        return super.close(this.getOpenText(text), ...rest);
    }

    private getOpenText(text: string): string {
        const refused = super.find(text)?.getReply()?.outcome === Outcome.NotExecuted;
        return refused ? this.getOpenText(`${text}+`) : text;
    }
}

function updateReplies(
    forwarder: Forwarder,
    update: (reply: OwnerReply) => Partial<OwnerReply>,
): Forwarder {
    return {
        forward: async (request, signal) => {
            const reply = await forwarder.forward(request, signal);
            return { ...reply, ...update(reply) };
        },
        revoke: request => forwarder.revoke(request),
    };
}

addMutationTest(
    "without tombstones",
    new TruthfulOutcomePredicate(),
    new class extends DaemonVariant {
        override createAttempts = () => new NoTombstoneTable();
    }(),
);

addMutationTest(
    "that dispatches revoked requests",
    new TruthfulOutcomePredicate(),
    new class extends DaemonVariant {
        override createAttempts = () => new NoRevocationCheckTable();
    }(),
);

addMutationTest(
    "that executes a duplicate of an attempt again",
    new AtMostOncePredicate(),
    new class extends DaemonVariant {
        override createAttempts = () => new DuplicateExecutionTable();
    }(),
);

addMutationTest(
    "without the watermark of purged keys",
    new AtMostOncePredicate(),
    new class extends DaemonVariant {
        override createOperations = (clock: Clock) => new NoWatermarkTable(clock);
    }(),
    [FaultKind.ClockStep],
);

addMutationTest(
    "that executes a request after refusing its key",
    new TruthfulOutcomePredicate(),
    new class extends DaemonVariant {
        override createOperations = (clock: Clock) => new ReopeningTable({ clock });
    }(),
);

addMutationTest(
    "that ignores the incarnation in a key",
    new AtMostOncePredicate(),
    new class extends DaemonVariant {
        override createDeduplication = (
            register: Filter<OwnerRequest, OwnerReply>,
            identity: OwnerIdentity,
        ) => ({
            apply: (request: OwnerRequest) => {
                const key = parseKey(request.idempotencyKey ?? "").unwrapOr(undefined);
                const idempotencyKey = key === undefined ? undefined : encodeKey({ ...key, ...identity });
                return register.apply({ ...request, idempotencyKey });
            },
        });
    }(),
);

addMutationTest(
    "that answers revocations for its earlier incarnation",
    new TruthfulOutcomePredicate(),
    new class extends DaemonVariant {
        override createRevoker = (revoker: Revoker, { incarnation }: OwnerIdentity): Revoker => ({
            revoke: target => revoker.revoke({ ...target, incarnation }),
        });
    }(),
    [FaultKind.Restart],
);

addMutationTest(
    "that revokes an attempt without closing its key",
    new TruthfulOutcomePredicate(),
    new class extends DaemonVariant {
        override createRevoker = (revoker: Revoker): Revoker => ({
            revoke: target => revoker.revoke({ ...target, idempotencyKey: undefined }),
        });
    }(),
);

addMutationTest(
    "that retries after an unknown outcome",
    new AtMostOncePredicate(),
    new class extends DaemonVariant {
        override createForwarder = (forwarder: Forwarder) =>
            updateReplies(
                forwarder,
                ({ outcome }) => outcome === Outcome.Unknown ? { outcome: Outcome.NotExecuted } : {},
            );
    }(),
);

addMutationTest(
    "that treats a refused connection as the recorded outcome of a key",
    new TruthfulOutcomePredicate(),
    new class extends DaemonVariant {
        override createForwarder = (forwarder: Forwarder) =>
            updateReplies(forwarder, () => ({ keyRecorded: true }));
    }(),
);

addMutationTest(
    "that reports a refusal by the entry daemon as the outcome of a key",
    new TruthfulOutcomePredicate(),
    new class extends DaemonVariant {
        override createEntry = (entry: Filter<RoutedRequest, OwnerReply>) => entry;
    }(),
);

addMutationTest(
    "that does not check the request identifier and attempt of a reply",
    new OwnAnswerPredicate(),
    new class extends DaemonVariant {
        override createForwarder = (forwarder: Forwarder): Forwarder => ({
            forward: async (request, signal) => {
                const { requestId, attempt } = request;
                return { ...await forwarder.forward(request, signal), requestId, attempt };
            },
            revoke: request => forwarder.revoke(request),
        });
    }(),
);
