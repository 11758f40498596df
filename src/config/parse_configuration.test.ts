import assert from "node:assert/strict";
import { readFileSync } from "node:fs";
import { test } from "node:test";
import { Code } from "../core/code.ts";
import { parseConfiguration } from "./parse_configuration.ts";

/** Each problem as `line:column code field`. */
function listProblems(source: string): readonly string[] {
    return parseConfiguration(source).match(
        () => [],
        problems =>
            problems.map(({ source, line, column, code, field }) =>
                `${source === "config" ? "" : `${source}:`}${line}:${column} ${code} ${field}`
            ),
    );
}

const route = "class: short, idempotent: true, deadlineMs: 1000";
const valid = `team: test
services:
  bills:
    members: 3
    floor: 2
    routes:
      list: { method: GET, path: /bills, ${route} }
`;

for (const name of ["authority", "safai"]) {
    test(`demo/${name}.yaml is valid, so that the demo starts with the file as it is`, () => {
        const source = readFileSync(new URL(`../../demo/${name}.yaml`, import.meta.url), "utf8");
        const result = parseConfiguration(source, { name });
        assert.deepEqual(result.isErr() ? result.error : [], []);
        assert.equal(result._unsafeUnwrap().services.size, 3);
    });
}

test("fields that the text leaves out have the defaults of the table", () => {
    const bills = parseConfiguration(valid)._unsafeUnwrap().services.get("bills")!;
    assert.equal(bills.limits.queueLength, 64);
    assert.deepEqual(bills.dependsOn, []);
    assert.deepEqual(bills.routes[0], {
        name: "list",
        service: "bills",
        method: "GET",
        path: "/bills",
        workClass: "short",
        idempotent: true,
        deadlineMs: 1000,
        serviceMs: 10,
        maxRequestBytes: 65_536,
        maxAnswerBytes: 1_048_576,
        expect: { statuses: [200], contentType: "" },
        shedStatuses: [],
        priority: 0,
        maxAttempts: 3,
        targetMs: 0,
        split: new Map(),
    });
});

test("each problem is reported with its line and column, so that operators find it", () => {
    const cases: readonly [string, string, string][] = [
        ["floor: 2", "floor: 2\n    flor: 3", `6:5 ${Code.ConfigUnknownField} services.bills.flor`],
        ["    floor: 2\n", "", `3:3 ${Code.ConfigMissingField} services.bills.floor`],
        ["team: test", "", `2:1 ${Code.ConfigMissingField} team`],
        ["floor: 2", "floor: two", `5:12 ${Code.ConfigBadValue} services.bills.floor`],
        ["floor: 2", 'floor: "2"', `5:12 ${Code.ConfigBadValue} services.bills.floor`],
        ["floor: 2", "floor:", `5:11 ${Code.ConfigBadValue} services.bills.floor`],
        ["floor: 2", "floor: 2.5", `5:12 ${Code.ConfigBadValue} services.bills.floor`],
        ["floor: 2", "floor: -1", `5:12 ${Code.ConfigBadValue} services.bills.floor`],
        ["floor: 2", "floor: 2\n    limits: []", `6:13 ${Code.ConfigBadValue} services.bills.limits`],
        ["GET", "FETCH", `7:23 ${Code.ConfigBadValue} services.bills.routes.list.method`],
        ["/bills,", "bills,", `7:34 ${Code.ConfigBadValue} services.bills.routes.list.path`],
        ["/bills,", "/a/../b,", `7:34 ${Code.ConfigBadValue} services.bills.routes.list.path`],
        ["/bills,", "/.zinniaglade/keys,", `7:34 ${Code.ConfigBadValue} services.bills.routes.list.path`],
        ["      list:", "      my list:", `7:7 ${Code.ConfigBadValue} services.bills.routes.my list`],
        ["floor: 2", "floor: 4", `5:12 ${Code.ConfigFloorAboveMembers} services.bills.floor`],
        ["floor: 2", "floor: 2\n    floor: 2", `6:5 ${Code.ConfigDuplicateName} services.bills.floor`],
        [
            "floor: 2",
            "floor: 2\n    dependsOn: [rates]",
            `6:17 ${Code.ConfigUnknownService} services.bills.dependsOn[0]`,
        ],
        [
            "floor: 2",
            "floor: 2\n    dependsOn: [bills]",
            `6:17 ${Code.ConfigDependencyCycle} services.bills.dependsOn[0]`,
        ],
        [
            "floor: 2",
            "floor: 2\n    health: { holdMinMs: 70000 }",
            `6:5 ${Code.ConfigBadValue} services.bills.health.holdMaxMs`,
        ],
        [
            "1000 }",
            "1000, serviceMs: 1001 }",
            `7:103 ${Code.ConfigBadValue} services.bills.routes.list.serviceMs`,
        ],
    ];
    assert.deepEqual(listProblems(valid), []);
    for (const [before, after, problem] of cases) {
        assert.deepEqual(listProblems(valid.replace(before, after)), [problem], after);
    }
});

test("all problems of a text are reported together", () => {
    const source = valid.replace("members: 3", "members: x").replace("GET", "FETCH").replace(
        "team: test",
        "tea: test",
    );
    assert.deepEqual(listProblems(source), [
        `1:1 ${Code.ConfigUnknownField} tea`,
        `1:1 ${Code.ConfigMissingField} team`,
        `4:14 ${Code.ConfigBadValue} services.bills.members`,
        `7:23 ${Code.ConfigBadValue} services.bills.routes.list.method`,
    ]);
});

test("routes with the same requests or the same name conflict, also across services", () => {
    const source = `${valid}      read: { method: GET, path: "/bills/{bill}", ${route} }
  rates:
    members: 1
    floor: 1
    routes:
      list: { method: GET, path: /rates, ${route} }
      other: { method: GET, path: "/bills/{number}", ${route} }
      replace: { method: PUT, path: "/bills/{number}", ${route} }
`;
    assert.deepEqual(listProblems(source), [
        `13:7 ${Code.ConfigDuplicateName} services.rates.routes.list`,
        `14:35 ${Code.ConfigRouteConflict} services.rates.routes.other.path`,
    ]);
});

test("a dependency cycle over several services is reported once and names its services", () => {
    const services = [["a", "b"], ["b", "c"], ["c", "a"], ["d", "a"]].map(([name, dependency]) =>
        `  ${name}: { members: 1, floor: 1, dependsOn: [${dependency}] }\n`
    );
    const problems = parseConfiguration(`team: test\nservices:\n${services.join("")}`)._unsafeUnwrapErr();
    assert.deepEqual(problems.map(({ code, line, message }) => [code, line, message]), [
        [Code.ConfigDependencyCycle, 5, "closes the dependency cycle a -> b -> c -> a"],
    ]);
});

test("a text without services is refused, because it would take every service out of use", () => {
    assert.deepEqual(listProblems("team: test\n"), [`1:1 ${Code.ConfigMissingField} services`]);
    assert.deepEqual(listProblems(""), [`1:1 ${Code.ConfigBadValue} `]);
});

test("texts that are not YAML, or use anchors, tags or directives, are refused", () => {
    for (
        const source of [
            "team: [",
            "team: 'x",
            "a: b: c",
            "team: &x a\nservices: *x",
            "team: !!binary abcd",
            "team: a\n---\nteam: b",
            "? [a]\n: b",
            "- a\nb: c",
            "team: test\n\tservices: {}",
            "%YAML 1.1\n---\nteam: a",
        ]
    ) {
        const problems = parseConfiguration(source)._unsafeUnwrapErr();
        assert.equal(problems[0]?.code, Code.ConfigSyntax, source);
    }
});

test("a message stays short, so that a file that is no configuration does not fill the log", () => {
    const problems = parseConfiguration(`team: t\n${"word ".repeat(1_000)}`)._unsafeUnwrapErr();
    assert.ok(problems.every(({ message }) => message.length <= 160));
});
