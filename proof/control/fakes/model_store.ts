import { err, ok, type Result } from "neverthrow";
import { Code } from "../../../src/core/code.ts";
import { createFailure } from "../../../src/core/create_failure.ts";
import type { Failure } from "../../../src/core/failure.ts";
import type { StoreChange } from "../../../src/published/store_change.ts";
import { StoreChangeKind } from "../../../src/published/store_change_kind.ts";
import type { StorePage } from "../../../src/published/store_page.ts";
import type { StoreRevision } from "../../../src/published/store_revision.ts";
import type { VirtualTime } from "../../fakes/virtual_time.ts";

interface WrittenChange {
    readonly key: string;
    readonly change: StoreChange;
    readonly atMs: number;
}

/** A linearizable store with a history and one revision for all values, which can lose its newest writes. */
export class ModelStore {
    private writes: WrittenChange[] = [];
    private era = 0;
    private readonly waiting = new Set<() => void>();

    constructor(private readonly time: VirtualTime) {}

    /** Revision of some milliseconds ago, as a read that need not be linearizable may return it. */
    getStaleRevision(ageMs: number): StoreRevision {
        const atMs = this.time.getMonotonicMs() - ageMs;
        return { era: this.era, revision: this.writes.filter(write => write.atMs <= atMs).length };
    }

    /** Comes back from a copy that is some milliseconds old; the returned action writes again what it lacks. */
    load(copyAgeMs: number): () => void {
        const atMs = this.time.getMonotonicMs() - copyAgeMs;
        const lost = new Map(
            this.writes.filter(write => write.atMs > atMs).map(({ change, key }) => [key, change]),
        );
        this.writes = this.writes.filter(write => write.atMs <= atMs);
        this.era += 1;
        this.waiting.clear();
        return () => {
            const written = new Map(this.writes.map(({ atMs: writtenAtMs, key }) => [key, writtenAtMs]));
            for (const [key, change] of lost) {
                // A value that was written since is newer than the lost one.
                if ((written.get(key) ?? -Infinity) <= atMs) {
                    this.write(key, revision => ({ ...change, revision }));
                }
            }
        };
    }

    /** Writes a value and returns the time of the confirmation. */
    write(key: string, build: (revision: number) => StoreChange): number {
        const atMs = this.time.getMonotonicMs();
        this.writes.push({ key, change: build(this.writes.length + 1), atMs });
        [...this.waiting].forEach(action => action());
        return atMs;
    }

    readAll(): StorePage {
        const values = new Map(this.writes.map(({ change, key }) => [key, change]));
        const changes = [...values.values()].filter(({ kind }) => kind !== StoreChangeKind.UpstreamRemoved);
        return this.buildPage(changes);
    }

    readAfter({ revision }: StoreRevision): Result<StorePage, Failure> {
        return revision > this.writes.length
            ? err(createFailure(Code.PlatformHistoryGone))
            : ok(this.buildPage(this.writes.slice(revision).map(({ change }) => change)));
    }

    /** Calls `action` when something is written, or after a time in milliseconds. */
    wait(waitMs: number, action: () => void): void {
        const runOnce = () => {
            if (this.waiting.delete(runOnce)) {
                action();
            }
        };
        this.waiting.add(runOnce);
        this.time.start(waitMs, runOnce);
    }

    private buildPage(changes: readonly StoreChange[]): StorePage {
        const revision = { era: this.era, revision: this.writes.length };
        return { revision, changes, items: changes.map(change => JSON.stringify(change)) };
    }
}
