import { err, ok } from "neverthrow";
import assert from "node:assert/strict";
import { once } from "node:events";
import { createServer } from "node:http";
import { test, type TestContext } from "node:test";
import { createTestMemoryGuard } from "../../proof/fakes/create_test_memory_guard.ts";
import { buildOwnerRequest } from "../../proof/operations/build_owner_request.ts";
import { buildService } from "../../proof/operations/build_service.ts";
import { Code } from "../core/code.ts";
import { createFailure } from "../core/create_failure.ts";
import { HeaderUpstreamCodec } from "../dispatch/header_upstream_codec.ts";
import { HttpListener } from "../edge/http/http_listener.ts";
import { LinkForwarder } from "../edge/peer_link/link_forwarder.ts";
import { LinkListener } from "../edge/peer_link/link_listener.ts";
import { SystemClock } from "../edge/system/system_clock.ts";
import { SystemTimers } from "../edge/system/system_timers.ts";
import { UndiciUpstreamClient } from "../edge/upstream_http/undici_upstream_client.ts";
import { ConfiguredUpstreams } from "../queue/configured_upstreams.ts";
import { decideAttemptResult } from "../settle/decide_attempt_result.ts";
import { AttemptExchanger } from "./attempt_exchanger.ts";
import { AttemptSequence } from "./attempt_sequence.ts";
import { buildOwnerReply } from "./build_owner_reply.ts";
import { HedgeEvent } from "./hedge_event.ts";
import { HedgeVerdict } from "./hedge_verdict.ts";
import { NoHedgingPolicy } from "./no_hedging_policy.ts";
import { RevokeState } from "./revoke_state.ts";

class ImmediateHedgingPolicy extends NoHedgingPolicy {
    override computeDelayMs(): number {
        return 20;
    }

    override take(): HedgeVerdict {
        return HedgeVerdict.Allowed;
    }
}

/** Starts an owner with one upstream, which never answers when `isHanging`; returns the port of the owner. */
async function startOwner(context: TestContext, upstreamId: string, isHanging: boolean) {
    const server = createServer((_, response) => isHanging ? undefined : response.end("fast")).listen(
        0,
        "127.0.0.1",
    );
    await once(server, "listening");
    const { port } = server.address() as { port: number; };
    const client = new UndiciUpstreamClient({
        upstreams: new ConfiguredUpstreams([
            { id: upstreamId, service: "payments", address: `127.0.0.1:${port}`, slots: 1 },
        ]),
        codec: new HeaderUpstreamCodec(),
    });
    const identity = { ownerId: upstreamId, incarnation: "1" };
    const links = new LinkListener({
        memory: createTestMemoryGuard(),
        identity,
        owner: {
            apply: async dispatch => {
                const request = { ...buildOwnerRequest(), upstreamId, signal: dispatch.signal };
                const result = await client.send(request, 5_000, dispatch.signal);
                const fields = decideAttemptResult(request.route, result);
                return ok(buildOwnerReply(identity, dispatch, { ...fields, answer: result.answer }));
            },
        },
        registerRequest: () => ({ close: () => undefined }),
    });
    const listener = (await HttpListener.open("127.0.0.1:0", (_, response) => response.end()))
        ._unsafeUnwrap();
    listener.setUpgradeHandler((...upgrade) => links.handleUpgrade(...upgrade));
    context.after(async () => {
        await links.close();
        await listener.close();
        await client.close();
        server.closeAllConnections();
        server.close();
    });
    return { port: listener.getPort(), server };
}

test("the loser of a hedge is cancelled at its upstream, so that it does not keep a slot", async context => {
    const clock = new SystemClock();
    const timers = new SystemTimers();
    const owners = [await startOwner(context, "slow", true), await startOwner(context, "fast", false)];
    const upstreams = ["slow", "fast"].map((id, index) => ({
        id,
        service: "payments",
        failureDomain: "z",
        region: "r",
        ownerId: id,
        ownerAddress: `127.0.0.1:${owners[index]!.port}`,
        leaving: false,
    }));
    const forwarder = new LinkForwarder({
        memory: createTestMemoryGuard(),
        clock,
        sendRevoke: () => Promise.resolve(RevokeState.NoReply),
    });
    context.after(() => void forwarder.close());
    const metrics = { addCount: () => undefined, setGauge: () => undefined, recordTime: () => undefined };
    const exchanger = new AttemptExchanger({ forwarder, clock, timers, metrics });
    const cancelledAtUpstream = once(owners[0]!.server, "request").then(([, response]) =>
        once(response as NodeJS.EventEmitter, "close")
    );
    const service = buildService(true);
    const startMs = clock.getMonotonicMs();
    const request = {
        ...buildOwnerRequest(),
        host: "",
        path: "/payments",
        budgetMs: undefined,
        configVersion: 1,
    };
    const route = { ...service.routes[0]!, deadlineMs: 5_000 };
    const events: HedgeEvent[] = [];
    const sequence = new AttemptSequence({ ...request, service, route, deadlineMs: startMs + 5_000 }, {
        selector: {
            select: (routed, attempt, excluded) => {
                const upstream = upstreams.find(({ id }) => !excluded.has(id));
                return upstream === undefined
                    ? err(createFailure(Code.NoUpstream))
                    : ok({ ...routed, attempt, upstream, baselineMs: 0, trial: false });
            },
            recordStart: () => undefined,
            recordUnconfirmed: () => undefined,
            recordReply: () => undefined,
        },
        owners: { getIncarnation: () => "1", list: () => [] },
        budget: {
            add: () => undefined,
            has: () => true,
            take: () => true,
            addRepeat: () => undefined,
            release: () => undefined,
        },
        hedging: new ImmediateHedgingPolicy(),
        clock,
        timers,
        forward: (selected, handleUnconfirmed) => exchanger.forward(selected, handleUnconfirmed),
        revokeAfterHopFailure: (_, reply) => Promise.resolve(reply),
        handleHedge: event => void events.push(event),
    });
    const reply = (await sequence.run())._unsafeUnwrap();
    assert.equal(Buffer.from(reply.answer!.body).toString(), "fast");
    await cancelledAtUpstream;
    assert.ok(clock.getMonotonicMs() - startMs < 5_000, "the attempt ended by its deadline");
    assert.deepEqual(events, [HedgeEvent.Sent, HedgeEvent.Won]);
});
