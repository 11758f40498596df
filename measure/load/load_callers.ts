import type { Result } from "neverthrow";
import type { VirtualTime } from "../../proof/fakes/virtual_time.ts";
import { Code } from "../../src/core/code.ts";
import { createFailure } from "../../src/core/create_failure.ts";
import type { Failure } from "../../src/core/failure.ts";
import { Outcome } from "../../src/core/outcome.ts";
import type { RandomSource } from "../../src/core/random_source.ts";
import type { RoutedRequest } from "../../src/route/routed_request.ts";
import type { FakeEntryDaemon } from "./fake_entry_daemon.ts";
import { getLognormal } from "./get_lognormal.ts";
import type { LoadResult } from "./load_result.ts";
import type { LoadScenario } from "./load_scenario.ts";
import type { LoadStream } from "./load_stream.ts";

/** Delay in milliseconds before a caller's first retry; doubles with each retry, with a jitter of 50%. */
const callerBackoffMs = 200;

/** Options of `LoadCallers`. */
interface LoadCallersOptions {
    readonly time: VirtualTime;
    readonly random: RandomSource;
    readonly scenario: LoadScenario;
    readonly entryDaemons: readonly FakeEntryDaemon[];
    /** True when a caller closes its connection at its deadline. */
    readonly cancels: boolean;
    /** Identifiers of the requests that an upstream has executed, at least in part. */
    readonly started: ReadonlySet<string>;
    readonly result: LoadResult;
}

/** One request of a caller for an operation; a retry is a further request. */
interface CallerRequest {
    readonly stream: LoadStream;
    readonly operation: number;
    readonly attempt: number;
    readonly organisation: string;
}

/** Callers that send operations at random times (a Poisson process) and retry those that fail. */
export class LoadCallers {
    private operations = 0;

    constructor(private readonly options: LoadCallersOptions) {}

    /** Starts the arrivals of a stream, which end after the last phase. */
    start(stream: LoadStream): void {
        const { time, random, scenario } = this.options;
        const atMs = time.getMonotonicMs() - scenario.warmUpMs;
        const rate = atMs >= 0 && atMs < scenario.measuredMs ? stream.measuredRate : stream.baseRate;
        // Checks a rate of 0 again after 10 ms, so that a stream can start with the measured phase.
        const delayMs = rate > 0 ? -Math.log(1 - random.getFloat()) * 1_000 / rate : 10;
        time.start(delayMs, () => {
            if (time.getMonotonicMs() - scenario.warmUpMs >= scenario.measuredMs + scenario.recoveryMs) {
                return;
            }
            if (rate > 0) {
                const organisation = `${stream.name}-${Math.floor(random.getFloat() * stream.organisations)}`;
                void this.send({ stream, operation: this.operations++, attempt: 1, organisation });
            }
            this.start(stream);
        });
    }

    private async send(callerRequest: CallerRequest): Promise<void> {
        const { time, random, scenario, started, result } = this.options;
        const { stream, operation, attempt } = callerRequest;
        const sentAtMs = time.getMonotonicMs();
        const requestId = `${operation}.${attempt}`;
        const reply = await this.waitForReply(callerRequest, requestId);
        const failure = reply === undefined
            ? createFailure(Code.DeadlineExceeded)
            : reply.match(() => undefined, error => error);
        result.requests.push({
            stream: stream.name,
            operation,
            sentAtMs,
            endedAtMs: time.getMonotonicMs(),
            answered: failure === undefined,
            code: failure?.code ?? Code.Ok,
            outcome: failure?.outcome ?? Outcome.Executed,
            falselyNotExecuted: failure?.outcome === Outcome.NotExecuted && started.has(requestId),
        });
        if (failure !== undefined && attempt < scenario.maxCallerRequests) {
            const delayMs = callerBackoffMs * 2 ** (attempt - 1) * (0.5 + random.getFloat());
            time.start(delayMs, () => void this.send({ ...callerRequest, attempt: attempt + 1 }));
        }
    }

    /** Returns undefined when the deadline passes first. */
    private waitForReply(
        callerRequest: CallerRequest,
        requestId: string,
    ): Promise<Result<void, Failure> | undefined> {
        const { time, random, entryDaemons, cancels } = this.options;
        const { stream } = callerRequest;
        const caller = new AbortController();
        const request = this.buildRequest(callerRequest, requestId, caller.signal);
        const entryDaemon = entryDaemons[Math.floor(random.getFloat() * entryDaemons.length)]!;
        const demandMs = getLognormal(random, stream.serviceMs, stream.variation);
        return new Promise(resolve => {
            const timer = time.start(stream.route.deadlineMs, () => {
                if (cancels) {
                    caller.abort();
                }
                resolve(undefined);
            });
            void entryDaemon.run(request, demandMs, stream.name).then(value => {
                timer.close();
                resolve(value);
            });
        });
    }

    private buildRequest(
        { stream, organisation }: CallerRequest,
        requestId: string,
        signal: AbortSignal,
    ): RoutedRequest {
        const { route } = stream;
        const receivedAtMs = this.options.time.getMonotonicMs();
        return {
            requestId,
            method: route.method,
            host: "",
            path: route.path,
            target: route.path,
            headers: [],
            body: new Uint8Array(),
            organisation,
            idempotencyKey: undefined,
            budgetMs: route.deadlineMs,
            receivedAtMs,
            signal,
            service: this.options.scenario.service,
            route,
            deadlineMs: receivedAtMs + route.deadlineMs,
            configVersion: 1,
        };
    }
}
