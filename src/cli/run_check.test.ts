import { err, ok, type Result } from "neverthrow";
import assert from "node:assert/strict";
import { test } from "node:test";
import { parseConfiguration } from "../config/parse_configuration.ts";
import { Code } from "../core/code.ts";
import { createFailure } from "../core/create_failure.ts";
import type { Failure } from "../core/failure.ts";
import { ExitCode } from "./exit_code.ts";
import type { Output } from "./output.ts";
import { runCheck } from "./run_check.ts";
import type { TextReader } from "./text_reader.ts";

class FakeFiles implements TextReader {
    constructor(private readonly files: Readonly<Record<string, string>>) {}

    read(path: string): Result<string, Failure> {
        const content = this.files[path];
        return content === undefined
            ? err(createFailure(Code.FileUnreadable, { detail: "missing" }))
            : ok(content);
    }
}

class FakeOutput implements Output {
    text = "";
    errors = "";

    write(text: string): void {
        this.text += text;
    }

    writeError(text: string): void {
        this.errors += text;
    }
}

function run(files: Readonly<Record<string, string>>, explain = false) {
    const output = new FakeOutput();
    const exitCode = runCheck({ file: "etc/a.yaml", explain }, new FakeFiles(files), output);
    return { exitCode, text: output.text, errors: output.errors };
}

const valid = "team: t\nservices:\n  a: { members: 2, floor: 1 }\n";

test("a valid file gives exit code 0 and one line", () => {
    assert.deepEqual(run({ "etc/a.yaml": valid }), {
        exitCode: ExitCode.Ok,
        text: "etc/a.yaml: no problem found; services 1, routes 0\n",
        errors: "",
    });
});

test("each problem is one line on standard error with its position, and the exit code is 1", () => {
    const result = run({ "etc/a.yaml": valid.replace("floor: 1", "floor: 3").replace("team", "tea") });
    assert.deepEqual(result, {
        exitCode: ExitCode.Failed,
        text: "",
        errors: [
            "etc/a.yaml:1:1: error 4002: tea: unknown field; known are team, services\n",
            "etc/a.yaml:1:1: error 4003: team: required field is missing\n",
        ].join(""),
    });
    const { errors } = run({ "etc/a.yaml": valid.replace("floor: 1", "floor: 3") });
    assert.equal(
        errors,
        "etc/a.yaml:3:27: error 4007: services.a.floor: the floor 3 is above the 2 members of the service\n",
    );
});

test("--explain prints a configuration that parses again, and nothing else", () => {
    const { text, errors } = run({ "etc/a.yaml": valid }, true);
    assert.deepEqual(parseConfiguration(text), parseConfiguration(valid));
    assert.equal(errors, "");
});

test("a file that cannot be read has another exit code than an invalid configuration", () => {
    assert.deepEqual(run({}), {
        exitCode: ExitCode.BadUsage,
        text: "",
        errors: "etc/a.yaml: error 5003: missing\n",
    });
});
