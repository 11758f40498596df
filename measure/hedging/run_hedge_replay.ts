/**
 * Replays a load through entry daemons with a hedging policy, in virtual time. Attempts, exchange and retry
 * budget are real; selection knows the load of each upstream exactly.
 *
 * @example
 * ```ts
 * const result = await runHedgeReplay(load, { seed: 1, durationMs: 60_000, createPolicy });
 * ```
 *
 * @module
 */
import { err, ok } from "neverthrow";
import { SeededRandom } from "../../proof/fakes/seeded_random.ts";
import { VirtualTime } from "../../proof/fakes/virtual_time.ts";
import { buildService } from "../../proof/operations/build_service.ts";
import { Code } from "../../src/core/code.ts";
import { createFailure } from "../../src/core/create_failure.ts";
import { AttemptExchanger } from "../../src/forward/attempt_exchanger.ts";
import { AttemptFilter } from "../../src/forward/attempt_filter.ts";
import { buildOwnerReply } from "../../src/forward/build_owner_reply.ts";
import { HedgeEvent } from "../../src/forward/hedge_event.ts";
import type { HedgingPolicy } from "../../src/forward/hedging_policy.ts";
import type { RetryBudget } from "../../src/forward/retry_budget.ts";
import { RevokeState } from "../../src/forward/revoke_state.ts";
import { TokenRetryBudget } from "../../src/forward/token_retry_budget.ts";
import { KeyedSelector } from "../../src/operations/keyed_selector.ts";
import type { RoutedRequest } from "../../src/route/routed_request.ts";
import type { ServiceLoadReader } from "../../src/select/service_load_reader.ts";
import type { HedgeLoad } from "./hedge_load.ts";
import type { HedgeResult } from "./hedge_result.ts";
import { SlotUpstream } from "./slot_upstream.ts";

interface Options {
    readonly seed: number;
    readonly durationMs: number;
    readonly createPolicy: (budget: RetryBudget, loads: ServiceLoadReader) => HedgingPolicy;
}

const entryDaemons = 4;
/** Percent of requests that may be retried, as on the users' platform. */
const retryPercent = 20;
/** Milliseconds at the start whose requests are not counted, until answer times are known. */
const warmUpMs = 5_000;

/** Runs the requests of `durationMs`, and those of a time before it that are not counted. */
export async function runHedgeReplay(load: HedgeLoad, options: Options): Promise<HedgeResult> {
    const time = new VirtualTime();
    const random = new SeededRandom(options.seed);
    const result: HedgeResult = { answersMs: [], requests: 0, workMs: 0, hedges: 0, refusals: new Map() };
    const upstreams = Array.from({ length: load.upstreams }, () => new SlotUpstream(time, load.slots));
    const daemons = Array.from(
        { length: entryDaemons },
        () => createEntryDaemon(load, { ...options, time, random, upstreams, result }),
    );
    let nextId = 0;
    const runRequest = async (): Promise<void> => {
        const startedAtMs = time.getMonotonicMs();
        const daemon = daemons[Math.floor(random.getFloat() * entryDaemons)]!;
        const isCounted = startedAtMs >= warmUpMs;
        result.requests += isCounted ? 1 : 0;
        const reply = await daemon.apply(buildRequest(load, `${nextId++}`, startedAtMs));
        if (isCounted && reply.isOk() && reply.value.code === Code.Ok) {
            result.answersMs.push(time.getMonotonicMs() - startedAtMs);
        }
    };
    const startDemand = (): void => {
        const gapMs = -Math.log(1 - random.getFloat()) * 1_000 / load.requestsPerSecond;
        time.start(gapMs, () => {
            if (time.getMonotonicMs() < warmUpMs + options.durationMs) {
                void runRequest();
                startDemand();
            }
        });
    };
    startDemand();
    await time.run(warmUpMs + options.durationMs + load.deadlineMs);
    result.workMs = upstreams.reduce((sum, { workMs }) => sum + workMs, 0);
    return result;
}

interface EntryOptions extends Options {
    readonly time: VirtualTime;
    readonly random: SeededRandom;
    readonly upstreams: readonly SlotUpstream[];
    readonly result: HedgeResult;
}

function createEntryDaemon(load: HedgeLoad, options: EntryOptions): AttemptFilter {
    const { random, result, time, upstreams } = options;
    const identity = { ownerId: "owner", incarnation: "1" };
    const place = { failureDomain: "z", region: "r", ownerId: "owner", ownerAddress: "", leaving: false };
    const members = upstreams.map((_, index) => ({ id: `${index}`, service: "payments", ...place }));
    const owners = { getIncarnation: () => "1", list: () => [], setIncarnation: () => undefined };
    const budget = new TokenRetryBudget(time);
    const measureLoad = () =>
        upstreams.reduce((sum, upstream) => sum + Math.min(1, upstream.measureLoad()), 0) / upstreams.length;
    return new AttemptFilter({
        selector: {
            select: (request, attempt, excluded) => {
                const untried = members.filter(({ id }) => !excluded.has(id));
                const [left, right] = [0, 1].map(() =>
                    untried[Math.floor(random.getFloat() * untried.length)]
                );
                if (left === undefined || right === undefined) {
                    return err(createFailure(Code.NoUpstream));
                }
                const isLeft =
                    upstreams[Number(left.id)]!.measureLoad() <= upstreams[Number(right.id)]!.measureLoad();
                return ok({
                    ...request,
                    attempt,
                    upstream: isLeft ? left : right,
                    baselineMs: 0,
                    trial: false,
                });
            },
            recordStart: () => undefined,
            recordUnconfirmed: () => undefined,
            recordReply: () => undefined,
        },
        keyedSelector: new KeyedSelector({
            upstreams: { list: () => members },
            owners,
            preference: { isPreferred: () => true },
            baselines: { getBaselineMs: () => 0 },
        }),
        owners,
        exchanger: new AttemptExchanger({
            forwarder: {
                forward: async (selected, signal) => {
                    const index = Number(selected.upstream.id);
                    const serviceMs = load.getServiceMs(random, index, time.getMonotonicMs());
                    const isAnswered = await upstreams[index]!.run(serviceMs, signal);
                    const answer = { status: 200, headers: [], body: new Uint8Array() };
                    const code = isAnswered ? Code.Ok : Code.CallerCancelled;
                    return buildOwnerReply(identity, selected, { code, answer });
                },
                revoke: () => Promise.resolve(RevokeState.NoReply),
            },
            clock: time,
            timers: time,
            metrics: { addCount: () => undefined, setGauge: () => undefined, recordTime: () => undefined },
        }),
        budget,
        hedging: options.createPolicy(budget, { measureLoad }),
        leaving: { setLeaving: () => undefined },
        clock: time,
        timers: time,
        observer: {
            recordAttempt: () => undefined,
            recordStop: () => undefined,
            recordHedge: (_, event, verdict) => {
                const nowMs = time.getMonotonicMs();
                if (nowMs < warmUpMs || nowMs >= warmUpMs + options.durationMs) {
                    return;
                }
                result.hedges += event === HedgeEvent.Sent ? 1 : 0;
                if (event === HedgeEvent.Refused) {
                    result.refusals.set(verdict, (result.refusals.get(verdict) ?? 0) + 1);
                }
            },
        },
    });
}

function buildRequest(load: HedgeLoad, requestId: string, nowMs: number): RoutedRequest {
    const service = buildService(true);
    const { deadlineMs, targetMs } = load;
    return {
        requestId,
        method: "GET",
        host: "",
        path: "/",
        target: "/",
        headers: [],
        body: new Uint8Array(),
        organisation: "",
        idempotencyKey: undefined,
        budgetMs: undefined,
        receivedAtMs: nowMs,
        signal: new AbortController().signal,
        service: { ...service, limits: { ...service.limits, retryPercent } },
        route: { ...service.routes[0]!, deadlineMs, targetMs },
        deadlineMs: nowMs + deadlineMs,
        configVersion: 1,
    };
}
