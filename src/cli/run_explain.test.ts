import { err, ok } from "neverthrow";
import assert from "node:assert/strict";
import { test } from "node:test";
import { Code } from "../core/code.ts";
import { createFailure } from "../core/create_failure.ts";
import { ExitCode } from "./exit_code.ts";
import { runExplain } from "./run_explain.ts";

const entryLog = [
    `{"time":"2026-01-01T00:00:00.200Z","event":"attempt","daemon":"a","requestId":"r1","attempt":1,"code":2014,"outcome":"unknown","upstream":"u1","owner":"b","faultProbability":0.1,"ageMs":40,"detail":"socket closed"}`,
    `{"time":"2026-01-01T00:00:00.201Z","event":"request_failed","daemon":"a","requestId":"r1","durationMs":190,"code":2014,"outcome":"unknown","detail":"socket closed"}`,
    `{"time":"2026-01-01T00:00:00.300Z","event":"request_answered","daemon":"a","requestId":"r2","durationMs":20,"status":200}`,
    "not json",
    `{"time":"2026-01-01T00:00:00.000Z","daemon":"a","change":"state","subject":"daemon"}`,
].join("\n");
const ownerLog =
    `12.5 b {"time":"2026-01-01T00:00:00.150Z","event":"owner_attempt","daemon":"b","requestId":"r1","attempt":1,"code":2014}\n`;

function run(id: string, format = "text", names: readonly string[] = ["entry.log", "owner.log"]) {
    const written = { output: "", errors: "" };
    const texts: Record<string, string> = { "entry.log": entryLog, "owner.log": ownerLog };
    const exitCode = runExplain(
        { id, files: names, format },
        { read: name => name in texts ? ok(texts[name]!) : err(createFailure(Code.FileUnreadable)) },
        { write: text => written.output += text, writeError: text => written.errors += text },
    );
    return { exitCode, ...written };
}

test("the lines of several daemons are merged by time, and the deciding attempt is named", () => {
    const { errors, exitCode, output } = run("r1");
    assert.equal(exitCode, ExitCode.Ok);
    assert.match(output, /owner_attempt[^]*attempt[^]*request_failed/);
    assert.match(output, /cause: code 2014 \(the upstream closed .*upstream u1 of b.*told unknown/);
    assert.match(errors, /^entry\.log:4: not a line of the log\n$/, "only the invalid line is reported");
});

test("the cause of an answered request is its status", () => {
    assert.match(run("r2").output, /cause: answered with status 200 after 0 attempts in 20 ms/);
});

test("without the entry daemon's log the owner's line is the cause, so that a lost reply is visible", () => {
    assert.match(run("r1", "text", ["owner.log"]).output, /the owner b ended its attempt with code 2014/);
});

test("`--format json` prints the explanation as JSON for programs", () => {
    const explanation = JSON.parse(run("r1", "json").output) as { lines: unknown[]; cause: string; };
    assert.equal(explanation.lines.length, 3);
    assert.match(explanation.cause, /2014/);
});

test("an unknown request, an unreadable file and an unknown format are reported as errors", () => {
    assert.deepEqual([run("r9").exitCode, run("r9").errors.includes("no line names request r9")], [
        ExitCode.Failed,
        true,
    ]);
    assert.equal(run("r1", "text", ["missing.log"]).exitCode, ExitCode.BadUsage);
    assert.match(run("r1", "yaml").errors, /--format is text or json, not yaml/);
});
