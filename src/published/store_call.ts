import { err, type Result } from "neverthrow";
import { Code } from "../core/code.ts";
import { createFailure } from "../core/create_failure.ts";
import type { Failure } from "../core/failure.ts";
import type { Metrics } from "../core/metrics.ts";
import type { Timers } from "../core/timers.ts";
import type { StorePage } from "./store_page.ts";

interface Options {
    readonly timers: Timers;
    readonly metrics: Metrics;
}

/** One call to the platform's store at a time, with a time limit; `cancel` ends it early. */
export class StoreCall {
    private cancelCall: (detail: string) => void = () => undefined;

    constructor(private readonly options: Options) {}

    run(
        start: (signal: AbortSignal) => Promise<Result<StorePage, Failure>>,
        limitMs: number,
    ): Promise<Result<StorePage, Failure>> {
        const { metrics, timers } = this.options;
        metrics.addCount("platform.reads", { document: "store" });
        const controller = new AbortController();
        return new Promise(resolve => {
            const cancel = (detail: string): void => {
                resolve(err(createFailure(Code.PlatformUnreachable, { detail })));
                controller.abort();
            };
            const timer = timers.start(limitMs, () => cancel("the call to the platform timed out"));
            this.cancelCall = cancel;
            void start(controller.signal).then(result => {
                timer.close();
                resolve(result);
            });
        });
    }

    /** Ends the call in progress as if the store were unreachable. */
    cancel(detail: string): void {
        this.cancelCall(detail);
    }
}
