import fc from "fast-check";
import assert from "node:assert/strict";
import { readFileSync } from "node:fs";
import { test } from "node:test";
import { Code } from "../core/code.ts";
import { ConfigParser } from "./config_parser.ts";
import { formatProblem } from "./format_problem.ts";
import { parseConfiguration } from "./parse_configuration.ts";

const demo = readFileSync(new URL("../../demo/safai.yaml", import.meta.url), "utf8");

const syntaxCodes: ReadonlySet<Code> = new Set([Code.ConfigSyntax, Code.ConfigDuplicateName]);

test("only a changed service is read again", () => {
    const parser = new ConfigParser();
    const before = parser.parse(demo)._unsafeUnwrap().services;
    const after = parser.parse(demo.replace("floor: 4", "floor: 3"))._unsafeUnwrap().services;
    assert.notEqual(after.get("checklist"), before.get("checklist"));
    assert.equal(after.get("signoff"), before.get("signoff"));
    assert.equal(after.get("history"), before.get("history"));
});

test("problems of a changed text have the places of a full parse", () => {
    const parser = new ConfigParser();
    parser.parse(demo)._unsafeUnwrap();
    const [problem] = parser.parse(`# line\n${demo.replace("floor: 4", "floor: 7")}`)._unsafeUnwrapErr();
    assert.deepEqual([problem?.line, problem?.column, problem?.field], [10, 12, "services.checklist.floor"]);
});

test("every version of a series gives the result of a full parse, so that no service keeps an old value", () => {
    const lines = demo.split("\n");
    const edit = fc.record({
        line: fc.nat(lines.length - 1),
        // Replaces the line, removes it, doubles it, or exchanges it with one from elsewhere.
        text: fc.oneof(
            fc.constantFrom(
                "",
                "  #",
                "    floor: 5",
                "    members: 8",
                "  checklist:",
                "  other:",
                "services:",
                "- a",
            ),
            fc.constantFrom(
                "        deadlineMs: 3000",
                "      newRoute:",
                "    dependsOn: [history]",
                "team: other",
            ),
            fc.nat(lines.length - 1),
        ),
    });
    fc.assert(
        fc.property(fc.array(edit, { minLength: 1, maxLength: 6 }), edits => {
            const parser = new ConfigParser();
            parser.parse(demo)._unsafeUnwrap();
            const current = [...lines];
            for (const { line, text } of edits) {
                current[line] = typeof text === "number" ? lines[text]! : text;
                const source = current.join("\n");
                const expected = parseConfiguration(source);
                const actual = parser.parse(source);
                if (expected.isOk() || !expected.error.some(({ code }) => syntaxCodes.has(code))) {
                    assert.deepEqual(actual, expected, source);
                    continue;
                }
                // Of texts that are not YAML, the parser reports the first faulty entry. A full parse that finds
                // faults of syntax does not look for keys that appear twice.
                const problems = new Set(expected.error.map(problem => formatProblem(problem)));
                const hasSyntaxFault = expected.error.some(({ code }) => code === Code.ConfigSyntax);
                assert.ok(actual.isErr() && actual.error.length > 0, source);
                for (const problem of actual.error) {
                    const isHidden = hasSyntaxFault && problem.code === Code.ConfigDuplicateName;
                    assert.ok(
                        isHidden || problems.has(formatProblem(problem)),
                        `${formatProblem(problem)}\n${source}`,
                    );
                }
            }
        }),
        { numRuns: 30, seed: 1 },
    );
});
