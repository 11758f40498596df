import assert from "node:assert/strict";
import { test } from "node:test";
import { FakeParser } from "../../proof/control/fakes/fake_parser.ts";
import { RecordingSinks } from "../../proof/control/fakes/recording_sinks.ts";
import { Code } from "../core/code.ts";
import { Pipeline } from "../core/pipeline.ts";
import { ActivateConfigFilter } from "./activate_config_filter.ts";
import { CheckConfigVersionFilter } from "./check_config_version_filter.ts";
import { computeDigest } from "./compute_digest.ts";
import { ConfigStore } from "./config_store.ts";
import { ParseConfigFilter } from "./parse_config_filter.ts";

function createFixture() {
    const sinks = new RecordingSinks();
    const store = new ConfigStore({ audit: sinks, logger: sinks, metrics: sinks });
    const pipeline = Pipeline.start(new CheckConfigVersionFilter(store))
        .pipe(new ParseConfigFilter(store, new FakeParser()))
        .pipe(new ActivateConfigFilter(store));
    const send = async (version: number, source: string) =>
        pipeline.apply({ version, source, digest: computeDigest(source), cause: "platform" });
    return { sinks, store, send };
}

test("an older configuration is rejected and reported, so that a stale platform reverts nothing", async () => {
    const { sinks, store, send } = createFixture();
    await send(7, "seven");
    assert.equal((await send(6, "six"))._unsafeUnwrapErr().code, Code.ConfigStale);
    assert.equal(store.getActive()?.version, 7);
    await send(6, "six");
    assert.deepEqual(sinks.listCodes("config_rejected"), [Code.ConfigStale]);
});

test("a different text under the version in force is rejected and reported as a conflict", async () => {
    const { sinks, store, send } = createFixture();
    await send(7, "seven");
    assert.equal((await send(7, "other"))._unsafeUnwrapErr().code, Code.ConfigVersionConflict);
    assert.equal(store.getActive()?.source, "seven");
    assert.deepEqual(sinks.listCodes("config_rejected"), [Code.ConfigVersionConflict]);
});

test("an invalid configuration is rejected and reported until the next valid one", async () => {
    const { sinks, store, send } = createFixture();
    await send(7, "seven");
    await send(8, "invalid");
    assert.equal(store.getActive()?.version, 7);
    assert.equal(store.getRejected()?.code, Code.ConfigBadValue);
    await send(9, "nine");
    assert.equal(store.getRejected(), undefined);
    assert.deepEqual(sinks.entries.map(entry => entry.version), [7, 9]);
});

test("rejected configurations that peers report alternately are logged only once each", async () => {
    const { sinks, store, send } = createFixture();
    await send(7, "seven");
    const stale = { version: 5, digest: "a", code: Code.ConfigStale, detail: "", endsAtVersion: 8 };
    const invalid = { version: 9, digest: "b", code: Code.ConfigBadValue, detail: "", endsAtVersion: 9 };
    for (let round = 0; round < 3; round++) {
        store.recordRejected(stale, "peer");
        store.recordRejected(invalid, "peer");
    }
    assert.equal(sinks.listCodes("config_rejected").length, 2);
    await send(10, "ten");
    store.recordRejected(invalid, "peer");
    assert.equal(store.getRejected(), undefined);
});
