import { err, ok, type Result } from "neverthrow";
import { Code } from "../../../src/core/code.ts";
import { createFailure } from "../../../src/core/create_failure.ts";
import type { Failure } from "../../../src/core/failure.ts";
import type { Timers } from "../../../src/core/timers.ts";
import type { PlatformStore } from "../../../src/published/platform_store.ts";
import type { StoreCallOptions } from "../../../src/published/store_call_options.ts";
import type { StoreChange } from "../../../src/published/store_change.ts";
import type { StorePage } from "../../../src/published/store_page.ts";
import type { StoreRevision } from "../../../src/published/store_revision.ts";

type Reply = Result<StorePage, Failure>;

/**
 * Store whose replies are queued by the test. Without a queued reply a watch ends after its wait with no change,
 * and a read of all values stays open.
 */
export class FakePlatformStore implements PlatformStore {
    readonly calls: string[] = [];
    /** False while watches without a queued reply stay open beyond their wait. */
    endsWatches = true;
    probes = 0;
    probedRevision: Result<StoreRevision, Failure> = err(createFailure(Code.PlatformUnreachable));
    peerChanges: readonly StoreChange[] = [];
    private readonly replies: Reply[] = [];
    private handleBytes: (bytes: number) => void = () => undefined;
    private resolve: ((reply: Reply) => void) | undefined;

    constructor(private readonly timers: Timers) {}

    fetchAll(options: StoreCallOptions = {}): Promise<Reply> {
        return this.read("all", options);
    }

    watch(
        afterRevision: StoreRevision,
        waitMs: number,
        options: StoreCallOptions = {},
    ): Promise<Reply> {
        const reply = this.read(`watch ${afterRevision.revision}`, options);
        const { signal } = options;
        const { resolve } = this;
        signal?.addEventListener("abort", () => {
            this.resolve = this.resolve === resolve ? undefined : this.resolve;
        });
        this.timers.start(waitMs, () => {
            if (this.endsWatches && resolve !== undefined && this.resolve === resolve) {
                this.send(ok({ revision: afterRevision, changes: [], items: [] }));
            }
        });
        return reply;
    }

    /** True while a call waits for a reply. */
    hasPending(): boolean {
        return this.resolve !== undefined;
    }

    /** Leaves the pending call without an answer, as a silent connection does. */
    removePending(): void {
        this.resolve = undefined;
    }

    fetchRevision(): Promise<Result<StoreRevision, Failure>> {
        this.probes += 1;
        return Promise.resolve(this.probedRevision);
    }

    /** Items of the tests are indices of `peerChanges`. */
    decode(items: readonly string[]): readonly StoreChange[] {
        return items.map(item => this.peerChanges[Number(item)]!);
    }

    close(): void {}

    send(...replies: Reply[]): void {
        this.replies.push(...replies);
        const resolve = this.resolve;
        if (resolve !== undefined) {
            this.resolve = undefined;
            resolve(this.replies.shift()!);
        }
    }

    /** Delivers so many bytes of the answer to the pending call. */
    sendBytes(bytes: number): void {
        this.handleBytes(bytes);
    }

    private read(name: string, { handleBytes = () => undefined }: StoreCallOptions): Promise<Reply> {
        this.calls.push(name);
        this.handleBytes = handleBytes;
        const reply = this.replies.shift();
        return reply !== undefined ? Promise.resolve(reply) : new Promise(resolve => {
            this.resolve = resolve;
        });
    }
}
