import fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import { parseConfiguration } from "../config/parse_configuration.ts";
import type { RouteConfig } from "../config/route_config.ts";
import type { ServiceConfig } from "../config/service_config.ts";
import { Code } from "../core/code.ts";
import { PatternRouteTable } from "./pattern_route_table.ts";

const fields = "class: short, idempotent: true, deadlineMs: 1000";
const table = new PatternRouteTable(
    parseConfiguration(`
team: test
services:
  bills:
    members: 3
    floor: 2
    routes:
      list: { method: GET, path: /bills, ${fields} }
      read: { method: GET, path: "/bills/{bill}", ${fields} }
      today: { method: GET, path: /bills/today, ${fields} }
      pay: { method: POST, path: /bills/today, ${fields} }
      lines: { method: GET, path: "/bills/{bill}/lines", ${fields} }
      files: { method: GET, path: "/bills/today/*", ${fields} }
      replace: { method: PUT, path: "/bills/{bill}", ${fields} }
`)._unsafeUnwrap(),
);

function findName(method: string, path: string): string | Code {
    return table.find({ method, host: "", path }).match(match => match.route.name, code => code);
}

test("the most specific route wins, so that a pattern never hides a literal path", () => {
    assert.equal(findName("GET", "/bills/today"), "today");
    assert.equal(findName("GET", "/bills/42"), "read");
    assert.equal(findName("GET", "/bills/today/lines"), "files");
    assert.equal(findName("GET", "/bills/42/lines"), "lines");
});

test("a literal path of another method does not hide a pattern of the right method", () => {
    assert.equal(findName("PUT", "/bills/today"), "replace");
});

test("a trailing * matches one or more segments", () => {
    assert.equal(findName("GET", "/bills/today/a/b"), "files");
    assert.equal(findName("GET", "/bills/today/"), "files");
});

test("an unknown path and a known path with another method give different codes", () => {
    assert.equal(findName("GET", "/other"), Code.NoRoute);
    assert.equal(findName("GET", "/bills/"), Code.NoRoute);
    assert.equal(findName("DELETE", "/bills/42"), Code.MethodNotAllowed);
});

test("dot segments match no route, because an upstream may resolve them to another path", () => {
    for (const path of ["/bills/today/../42", "/bills/..", "/bills/%2e%2E", "/bills/today/./a", "bills"]) {
        assert.equal(findName("GET", path), Code.NoRoute, path);
    }
});

test("the table finds the route that a scan of all routes finds", () => {
    const configured = table.find({ method: "GET", host: "", path: "/bills" })._unsafeUnwrap();
    const segment = fc.constantFrom("a", "b", "{x}");
    const path = fc.tuple(fc.array(segment, { maxLength: 4 }), fc.constantFrom("", "/", "/*"))
        .map(([segments, end]) => segments.map(text => `/${text}`).join("") + end)
        .filter(text => text !== "");
    const requested = fc.array(fc.constantFrom("a", "b", "c", ""), { minLength: 1, maxLength: 5 });
    const paths = fc.uniqueArray(path, { minLength: 1, maxLength: 12 });
    fc.assert(
        fc.property(paths, fc.array(requested, { minLength: 1, maxLength: 8 }), (patterns, requests) => {
            const routes = patterns.map((pattern): RouteConfig => ({ ...configured.route, path: pattern }));
            const service: ServiceConfig = { ...configured.service, routes };
            const generatedTable = new PatternRouteTable({ team: "t", services: new Map([["s", service]]) });
            for (const segments of requests) {
                const request = `/${segments.join("/")}`;
                const actual = generatedTable.find({ method: "GET", host: "", path: request }).match(
                    match => match.route.path,
                    () => undefined,
                );
                assert.equal(actual, findByScan(patterns, segments), `${patterns.join(" ")} for ${request}`);
            }
        }),
        { numRuns: 500, seed: 1 },
    );
});

/** Matching pattern of the highest precedence: literals before parameters before wildcards. */
function findByScan(patterns: readonly string[], segments: readonly string[]): string | undefined {
    const matching = patterns.filter(pattern => {
        const parts = pattern.split("/").slice(1);
        const hasWildcard = parts.at(-1) === "*";
        const fixed = hasWildcard ? parts.slice(0, -1) : parts;
        return (hasWildcard ? segments.length > fixed.length : segments.length === fixed.length)
            && fixed.every((part, index) =>
                part === "{x}" ? segments[index] !== "" : part === segments[index]
            );
    });
    const format = (pattern: string): string =>
        pattern.split("/").map(part => part === "*" ? 2 : part === "{x}" ? 1 : 0).join("");
    return matching.sort((left, right) => format(left) < format(right) ? -1 : 1)[0];
}
