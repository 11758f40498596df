import { err, ok } from "neverthrow";
import assert from "node:assert/strict";
import { test } from "node:test";
import { Code } from "./code.ts";
import { createFailure } from "./create_failure.ts";
import { Pipeline } from "./pipeline.ts";

test("a pipeline passes the output of each filter to the next", async () => {
    const pipeline = Pipeline.start({ apply: (input: number) => ok(input + 1) }).pipe({
        apply: input => ok(`${input}`),
    });
    assert.equal((await pipeline.apply(1))._unsafeUnwrap(), "2");
});

test("a failure stops the pipeline, so that no later filter acts on a refused request", async () => {
    let applied = false;
    const failing = Pipeline.start({ apply: (_: number) => err(createFailure(Code.NoRoute)) });
    const pipeline = failing.pipe({
        apply: () => {
            applied = true;
            return ok(undefined);
        },
    });
    assert.equal((await pipeline.apply(1))._unsafeUnwrapErr().code, Code.NoRoute);
    assert.equal(applied, false);
});
