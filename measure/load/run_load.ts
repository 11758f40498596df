import { SeededRandom } from "../../proof/fakes/seeded_random.ts";
import { VirtualTime } from "../../proof/fakes/virtual_time.ts";
import type { ActiveConfigReader } from "../../src/config/active_config_reader.ts";
import { Code } from "../../src/core/code.ts";
import { createFailure } from "../../src/core/create_failure.ts";
import { Outcome } from "../../src/core/outcome.ts";
import type { RandomSource } from "../../src/core/random_source.ts";
import type { RoutedRequest } from "../../src/route/routed_request.ts";
import { EntryPath } from "./entry_path.ts";
import { FakeUpstream } from "./fake_upstream.ts";
import type { LoadResult } from "./load_result.ts";
import type { LoadScenario } from "./load_scenario.ts";
import type { LoadStream } from "./load_stream.ts";
import type { LoadSystem } from "./load_system.ts";

/** First delay in milliseconds before a caller tries again; doubles with each try, with full jitter. */
const callerBackoffMs = 200;

/** Runs one system under one scenario in virtual time. */
export async function runLoad(scenario: LoadScenario, system: LoadSystem, seed: number): Promise<LoadResult> {
    const time = new VirtualTime();
    const random = new SeededRandom(seed);
    const services = new Map([[scenario.service.name, scenario.service]]);
    const config: ActiveConfigReader = {
        getActive: () => ({ version: 1, digest: "", source: "", configuration: { team: "", services } }),
    };
    const result: LoadResult = {
        tries: [],
        waitsMs: new Map(),
        slotMs: { useful: 0, expired: 0 },
        attempts: 0,
        mostQueued: 0,
    };
    const started = new Set<string>();
    const owners = new Map(Array.from({ length: scenario.upstreams }, (_, index) => {
        const owned = { id: `u${index}`, service: scenario.service.name, address: "", slots: scenario.slots };
        const queue = system.createQueue(time, owned);
        return [owned.id, { queue, upstream: new FakeUpstream(time, scenario.profile) }] as const;
    }));
    const entries = Array.from({ length: scenario.entryDaemons }, () =>
        new EntryPath({
            time,
            random,
            scenario,
            admit: system.createAdmit(time, config),
            budget: system.createBudget(time),
            owners,
            cancels: system.cancels,
            redirects: system.redirects,
            result,
            started,
        }));
    let operations = 0;
    const endMs = scenario.warmUpMs + scenario.measuredMs + scenario.recoveryMs;

    const sendTry = async (stream: LoadStream, operation: number, attempt: number, organisation: string) => {
        const sentAtMs = time.getMonotonicMs();
        const deadlineMs = sentAtMs + stream.route.deadlineMs;
        const caller = new AbortController();
        const requestId = `${operation}.${attempt}`;
        const request = buildRequest(scenario, stream, requestId, organisation, deadlineMs, caller.signal);
        const entry = entries[Math.floor(random.take() * entries.length)]!;
        const demandMs = takeLognormal(random, stream.serviceMs, stream.variation);
        const reply = await new Promise<Awaited<ReturnType<EntryPath["run"]>> | undefined>(resolve => {
            const timer = time.start(stream.route.deadlineMs, () => {
                if (system.cancels) {
                    caller.abort();
                }
                resolve(undefined);
            });
            void entry.run(request, demandMs, stream.name).then(value => {
                timer.close();
                resolve(value);
            });
        });
        const failure = reply === undefined
            ? createFailure(Code.DeadlineExceeded)
            : reply.isErr()
            ? reply.error
            : undefined;
        result.tries.push({
            stream: stream.name,
            operation,
            sentAtMs,
            endedAtMs: time.getMonotonicMs(),
            answered: failure === undefined,
            code: failure?.code ?? Code.Ok,
            outcome: failure?.outcome ?? Outcome.Executed,
            untruthful: failure?.outcome === Outcome.NotExecuted && started.has(requestId),
        });
        if (failure !== undefined && attempt < scenario.callerTries) {
            const delayMs = callerBackoffMs * 2 ** (attempt - 1) * (0.5 + random.take());
            time.start(delayMs, () => void sendTry(stream, operation, attempt + 1, organisation));
        }
    };
    const startArrivals = (stream: LoadStream): void => {
        const atMs = time.getMonotonicMs() - scenario.warmUpMs;
        const rate = atMs >= 0 && atMs < scenario.measuredMs ? stream.measuredRate : stream.calmRate;
        // Without load the next check is after 10 ms, so that a stream can start with the measured phase.
        const delayMs = rate > 0 ? -Math.log(1 - random.take()) * 1_000 / rate : 10;
        time.start(delayMs, () => {
            if (time.getMonotonicMs() >= endMs) {
                return;
            }
            if (rate > 0) {
                const organisation = `${stream.name}-${Math.floor(random.take() * stream.organisations)}`;
                void sendTry(stream, operations++, 1, organisation);
            }
            startArrivals(stream);
        });
    };
    scenario.streams.forEach(startArrivals);
    await time.run(endMs + 10_000);
    return result;
}

function buildRequest(
    scenario: LoadScenario,
    stream: LoadStream,
    requestId: string,
    organisation: string,
    deadlineMs: number,
    signal: AbortSignal,
): RoutedRequest {
    return {
        requestId,
        method: stream.route.method,
        path: stream.route.path,
        target: stream.route.path,
        headers: [],
        body: new Uint8Array(),
        organisation,
        idempotencyKey: undefined,
        budgetMs: stream.route.deadlineMs,
        receivedAtMs: deadlineMs - stream.route.deadlineMs,
        signal,
        service: scenario.service,
        route: stream.route,
        deadlineMs,
        configVersion: 1,
    };
}

/** Lognormal number with the given mean and coefficient of variation (Box-Muller method). */
function takeLognormal(random: RandomSource, mean: number, variation: number): number {
    const variance = Math.log(1 + variation ** 2);
    const normal = Math.sqrt(-2 * Math.log(1 - random.take())) * Math.cos(2 * Math.PI * random.take());
    return mean * Math.exp(normal * Math.sqrt(variance) - variance / 2);
}
