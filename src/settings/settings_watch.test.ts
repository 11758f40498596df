import { err, ok, type Result } from "neverthrow";
import assert from "node:assert/strict";
import { test } from "node:test";
import { VirtualTime } from "../../proof/fakes/virtual_time.ts";
import { Code } from "../core/code.ts";
import { createFailure } from "../core/create_failure.ts";
import type { Failure } from "../core/failure.ts";
import { SettingsWatch } from "./settings_watch.ts";

function createSetup() {
    const time = new VirtualTime();
    const file = { text: "first" };
    const applied: string[] = [];
    const events: string[] = [];
    const apply = (text: string): Result<void, Failure> => {
        applied.push(text);
        return text === "bad" ? err(createFailure(Code.BadSetting)) : ok(undefined);
    };
    const watch = new SettingsWatch({
        timers: time,
        logger: { write: (_, event) => void events.push(event) },
        read: () => file.text === "" ? Promise.reject(new Error("gone")) : Promise.resolve(file.text),
        apply,
    });
    watch.start(file.text);
    return { time, file, applied, events, watch };
}

test("a change without a signal is applied once", async () => {
    const { time, file, applied, watch } = createSetup();
    await time.run(3_000);
    file.text = "second";
    await time.run(3_000);
    watch.close();
    assert.deepEqual(applied, ["second"]);
});

test("a signal applies a change at once, and invalid settings are rejected once", async () => {
    const { file, applied, events, watch } = createSetup();
    file.text = "bad";
    await watch.check();
    await watch.check();
    watch.close();
    assert.deepEqual([applied, events], [["bad"], ["settings_rejected"]]);
});

test("a file that cannot be read is read again later", async () => {
    const { time, file, applied, events, watch } = createSetup();
    file.text = "";
    await time.run(1_500);
    file.text = "second";
    await time.run(1_000);
    watch.close();
    assert.deepEqual([applied, events], [["second"], ["settings_unreadable", "settings_reloaded"]]);
});
