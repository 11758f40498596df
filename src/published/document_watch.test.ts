import { err, ok } from "neverthrow";
import assert from "node:assert/strict";
import { test } from "node:test";
import { RecordingSinks } from "../../proof/control/fakes/recording_sinks.ts";
import { SeededRandom } from "../../proof/fakes/seeded_random.ts";
import { VirtualTime } from "../../proof/fakes/virtual_time.ts";
import { Code } from "../core/code.ts";
import { createFailure } from "../core/create_failure.ts";
import { DocumentWatch } from "./document_watch.ts";
import type { WatchSource } from "./watch_source.ts";

interface Document {
    readonly version: number;
}

function createFixture(fetch: WatchSource<Document>["fetch"], apply?: WatchSource<Document>["apply"]) {
    const sinks = new RecordingSinks();
    const time = new VirtualTime();
    const role = { isReader: () => true, recordRead: () => {} };
    const watch = new DocumentWatch<Document>(
        { name: "configuration", fetch, apply: apply ?? (async () => ok(undefined)) },
        { role, clock: time, timers: time, random: new SeededRandom(1), logger: sinks, metrics: sinks },
    );
    watch.start();
    return { sinks, time, watch };
}

test("failures are retried with exponential back-off, so that an outage does not multiply the reads", async () => {
    const { sinks, time, watch } = createFixture(async () => err(createFailure(Code.PlatformUnreachable)));
    await time.run(60_000);
    watch.close();
    const reads = sinks.counts.get("platform.reads") ?? 0;
    assert.ok(reads >= 12 && reads <= 30, `${reads} reads in 60 s`);
    assert.equal(sinks.listCodes("platform_failed").length, 1);
});

test("a call that never ends is aborted, and the watch continues", async () => {
    const { sinks, time, watch } = createFixture(() => new Promise(() => {}));
    await time.run(30_000);
    watch.close();
    assert.ok((sinks.counts.get("platform.reads") ?? 0) >= 4);
});

test("a platform that answers watches immediately is not called in a tight loop", async () => {
    for (const answer of [undefined, { version: 3 }]) {
        const { sinks, time, watch } = createFixture(async () => ok(answer));
        await time.run(10_000);
        watch.close();
        const reads = sinks.counts.get("platform.reads") ?? 0;
        assert.ok(reads <= 10_000 / 125 + 2, `${reads} reads in 10 s`);
    }
});

test("a version that the pipeline could not process is read again", async () => {
    let attempts = 0;
    const { time, watch } = createFixture(
        async after => ok(after < 3 ? { version: 3 } : undefined),
        async () => (attempts += 1) < 3 ? err(createFailure(Code.PlatformBadValue)) : ok(undefined),
    );
    await time.run(5_000);
    watch.close();
    assert.equal(attempts, 3);
});
