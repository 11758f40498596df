import assert from "node:assert/strict";
import { test } from "node:test";
import { parseConfiguration } from "../config/parse_configuration.ts";
import { Code } from "../core/code.ts";
import { RouteTable } from "./route_table.ts";

const fields = "class: short, idempotent: true, deadlineMs: 1000";
const table = new RouteTable(
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
    return table.find(method, path).match(match => match.route.name, code => code);
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

test("paths outside the routes and other methods are told apart", () => {
    assert.equal(findName("GET", "/other"), Code.NoRoute);
    assert.equal(findName("GET", "/bills/"), Code.NoRoute);
    assert.equal(findName("DELETE", "/bills/42"), Code.MethodNotAllowed);
});

test("dot segments match no route, because an upstream may resolve them to another path", () => {
    for (const path of ["/bills/today/../42", "/bills/..", "/bills/%2e%2E", "/bills/today/./a", "bills"]) {
        assert.equal(findName("GET", path), Code.NoRoute, path);
    }
});
