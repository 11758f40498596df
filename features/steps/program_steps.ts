import { After, Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { spawnSync } from "node:child_process";
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";

let directory: string | undefined;
let file = "";
let exitCode: number | undefined;
let output = "";
let errors = "";

function runProgram(...args: string[]): void {
    const result = spawnSync("dist/zinniaglade", args, { encoding: "utf8" });
    exitCode = result.status ?? undefined;
    output = result.stdout;
    errors = result.stderr;
}

Given(
    "the configuration {string} with {string} replaced by {string}",
    (path: string, before: string, after: string) => {
        const text = readFileSync(path, "utf8");
        assert.ok(text.includes(before));
        directory = mkdtempSync(join(tmpdir(), "zinniaglade-"));
        file = join(directory, "config.yaml");
        writeFileSync(file, text.replace(before, after));
    },
);

When("the program is run with {string}", (argumentText: string) => runProgram(...argumentText.split(" ")));

When("the program checks it", () => runProgram("check", file));

Then("its exit code is {int}", (expected: number) => {
    assert.equal(exitCode, expected, errors);
});

Then("it prints {string}", (text: string) => {
    assert.ok(output.includes(text), output);
});

Then("it prints one line on standard error that contains {string}", (text: string) => {
    assert.match(errors, /^[^\n]+\n$/);
    assert.ok(errors.includes(text), errors);
});

Then("it prints a problem with code {int} at line {int}", (code: number, line: number) => {
    assert.match(errors, new RegExp(`config\\.yaml:${line}:\\d+: error ${code}: `));
});

After(() => {
    if (directory !== undefined) {
        rmSync(directory, { recursive: true });
        directory = undefined;
    }
});
