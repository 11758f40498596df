import { err, ok, type Result } from "neverthrow";
import { Code } from "../../../src/core/code.ts";
import { createFailure } from "../../../src/core/create_failure.ts";
import type { Failure } from "../../../src/core/failure.ts";
import type { RandomSource } from "../../../src/core/random_source.ts";
import type { PlatformStore } from "../../../src/published/platform_store.ts";
import type { StoreChange } from "../../../src/published/store_change.ts";
import { StoreChangeKind } from "../../../src/published/store_change_kind.ts";
import type { StorePage } from "../../../src/published/store_page.ts";
import type { StoreRevision } from "../../../src/published/store_revision.ts";
import type { VirtualTime } from "../../fakes/virtual_time.ts";
import type { ModelStore } from "./model_store.ts";
import type { PausableProcess } from "./pausable_process.ts";

interface Options {
    readonly store: ModelStore;
    readonly process: PausableProcess;
    readonly time: VirtualTime;
    readonly random: RandomSource;
    /** False while calls get no answer. */
    readonly isReachable: () => boolean;
    /** Milliseconds that the store takes for an answer. */
    readonly getDelayMs: () => number;
}

/** Oldest state in milliseconds that a read may describe that need not be linearizable. */
const maxStaleMs = 2_000;

/** Calls of one daemon to the store. Both ways take time, and an answer waits while the process is stopped. */
export class ModelStoreClient implements PlatformStore {
    calls = 0;

    constructor(private readonly options: Options) {}

    fetchAll(): Promise<Result<StorePage, Failure>> {
        return this.sendCall(answer => answer(ok(this.options.store.readAll())));
    }

    watch(afterRevision: StoreRevision, waitMs: number): Promise<Result<StorePage, Failure>> {
        const { store } = this.options;
        return this.sendCall(answer => {
            const page = store.readAfter(afterRevision);
            if (page.isErr() || page.value.changes.length > 0) {
                answer(page);
                return;
            }
            store.wait(waitMs, () => answer(store.readAfter(afterRevision)));
        });
    }

    fetchRevision(): Promise<Result<StoreRevision, Failure>> {
        const { random, store } = this.options;
        return this.sendCall(answer => answer(ok(store.getStaleRevision(maxStaleMs * random.getFloat()))));
    }

    decode(items: readonly string[]): readonly StoreChange[] {
        return items.map(item => {
            const change = JSON.parse(item) as StoreChange;
            return change.kind === StoreChangeKind.Configuration
                ? { ...change, configuration: { team: "", services: new Map() } }
                : change;
        });
    }

    close(): void {}

    private sendCall<Value>(
        serve: (answer: (result: Result<Value, Failure>) => void) => void,
    ): Promise<Result<Value, Failure>> {
        const { getDelayMs, isReachable, process, random, time } = this.options;
        this.calls += 1;
        return new Promise(resolve => {
            if (!isReachable()) {
                // Some calls are refused at once, the others get no answer.
                if (random.getFloat() < 0.5) {
                    process.runAfter(1, () => resolve(err(createFailure(Code.PlatformUnreachable))));
                }
                return;
            }
            time.start(getDelayMs() * random.getFloat(), () =>
                serve(result => {
                    if (isReachable()) {
                        process.runAfter(getDelayMs() * random.getFloat(), () => resolve(result));
                    }
                }));
        });
    }
}
