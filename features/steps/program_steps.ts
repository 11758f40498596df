import { Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { spawnSync } from "node:child_process";

let exitCode: number | undefined;

When("the program is run with {string}", (argumentText: string) => {
    exitCode = spawnSync("dist/zinniaglade", argumentText.split(" ")).status ?? undefined;
});

Then("its exit code is {int}", (expected: number) => {
    assert.equal(exitCode, expected);
});
