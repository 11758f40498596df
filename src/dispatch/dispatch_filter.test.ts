import { err, ok } from "neverthrow";
import assert from "node:assert/strict";
import { test } from "node:test";
import { VirtualTime } from "../../proof/fakes/virtual_time.ts";
import { buildOwnerRequest } from "../../proof/operations/build_owner_request.ts";
import { buildService } from "../../proof/operations/build_service.ts";
import { Code } from "../core/code.ts";
import { createFailure } from "../core/create_failure.ts";
import type { Failure } from "../core/failure.ts";
import { Outcome } from "../core/outcome.ts";
import { DaemonState } from "../lifecycle/daemon_state.ts";
import type { OwnerRequest } from "../queue/owner_request.ts";
import { DispatchFilter } from "./dispatch_filter.ts";
import type { DispatchedRequest } from "./dispatched_request.ts";
import type { PauseGuard } from "./pause_guard.ts";
import { UpstreamResultKind } from "./upstream_result_kind.ts";

class TestOwner {
    readonly time = new VirtualTime();
    readonly sent: AbortSignal[] = [];
    readonly observed: OwnerRequest[] = [];
    state: DaemonState = DaemonState.Serving;
    refusal: Failure | undefined;
    pauses: PauseGuard = {
        isResuming: () => false,
        wait: () => Promise.resolve(),
    };

    async apply(fields: Partial<OwnerRequest> = {}): Promise<DispatchedRequest> {
        const filter = new DispatchFilter({
            client: {
                send: (_request, _timeoutMs, signal) => {
                    this.sent.push(signal);
                    return Promise.resolve({
                        kind: UpstreamResultKind.Cut,
                        answer: undefined,
                        detail: "",
                    });
                },
                close: () => Promise.resolve(),
            },
            clock: this.time,
            daemonState: { getState: () => this.state },
            gate: { recordDispatch: () => this.refusal === undefined ? ok(undefined) : err(this.refusal) },
            pauses: this.pauses,
            observer: { start: request => void this.observed.push(request), record: () => undefined },
        });
        const request = { ...buildOwnerRequest(fields), permit: { close: () => undefined }, waitMs: 0 };
        return (await filter.apply(request))._unsafeUnwrap();
    }
}

test("a request that was revoked, has no time left or whose owner is leaving is not sent", async () => {
    const revoked = new TestOwner();
    revoked.refusal = createFailure(Code.Revoked);
    const leaving = new TestOwner();
    leaving.state = DaemonState.Draining;
    const late = new TestOwner();
    late.time.addPause(1_000);
    for (const owner of [revoked, leaving, late]) {
        const { result, refusal } = await owner.apply();
        assert.deepEqual([result, refusal?.outcome, owner.sent.length], [undefined, Outcome.NotExecuted, 0]);
        assert.equal(owner.observed.length, 0, "a request that was not sent is not health evidence");
    }
});

test("after a pause, a revocation that is unread in a socket is handled before dispatch", async () => {
    const owner = new TestOwner();
    let resuming = true;
    owner.pauses = {
        isResuming: () => resuming,
        wait: () => {
            resuming = false;
            owner.refusal = createFailure(Code.Revoked);
            return Promise.resolve();
        },
    };
    assert.equal((await owner.apply()).refusal?.code, Code.Revoked);
    assert.equal(owner.sent.length, 0);
});

test("only idempotent requests are cancelled, as cancelling a payment hides its outcome", async () => {
    const controller = new AbortController();
    const owner = new TestOwner();
    await owner.apply({ signal: controller.signal });
    await owner.apply({ signal: controller.signal, route: buildService(true).routes[0]! });
    controller.abort();
    assert.deepEqual(owner.sent.map(signal => signal.aborted), [false, true]);
});
