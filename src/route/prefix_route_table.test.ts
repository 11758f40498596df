import fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import type { Configuration } from "../config/configuration.ts";
import { createDefaultRoute } from "../config/create_default_route.ts";
import { createDefaultService } from "../config/create_default_service.ts";
import { Code } from "../core/code.ts";
import { PrefixRouteTable } from "./prefix_route_table.ts";

function buildTable(routes: readonly (readonly [host: string, prefix: string])[]): PrefixRouteTable {
    const configuration: Configuration = {
        team: "",
        services: new Map([["s", createDefaultService("s")]]),
        prefixRoutes: routes.map(([host, prefix]) => ({
            host,
            prefix,
            route: createDefaultRoute({ name: `${host}${prefix}`, service: "s", idempotent: true }),
        })),
    };
    return new PrefixRouteTable(configuration);
}

function findName(table: PrefixRouteTable, host: string, path: string): string | Code {
    return table.find({ method: "GET", host, path }).match(({ route }) => route.name, code => code);
}

test("the longest matching prefix of the host wins, in any order of the routes", () => {
    const table = buildTable([["a", "/x/"], ["a", "/x/y/"], ["b", "/"], ["a", "/x/y/z/"]]);
    assert.equal(findName(table, "a", "/x/y/1"), "a/x/y/");
    assert.equal(findName(table, "a", "/x/y/z/"), "a/x/y/z/");
    assert.equal(findName(table, "a", "/x/"), "a/x/");
    assert.equal(findName(table, "a", "/x"), Code.NoRoute);
    assert.equal(findName(table, "a", "/other/"), Code.NoRoute);
    assert.equal(findName(table, "b", "/anything"), "b/");
    assert.equal(findName(table, "c", "/x/"), Code.NoRoute);
});

test("every path finds the same route as a search through all prefixes", () => {
    const segment = fc.constantFrom("a", "b", "", ".", "c%2f");
    const prefix = fc.array(segment, { maxLength: 3 }).map(parts =>
        `/${parts.map(part => `${part}/`).join("")}`
    );
    const path = fc.array(segment, { maxLength: 5 }).map(parts => `/${parts.join("/")}`);
    fc.assert(fc.property(fc.uniqueArray(prefix, { maxLength: 6 }), path, (prefixes, target) => {
        const table = buildTable(prefixes.map(item => ["h", item] as const));
        const expected = prefixes.filter(item =>
            target.startsWith(item)
        ).sort((x, y) => y.length - x.length)[0];
        assert.equal(findName(table, "h", target), expected === undefined ? Code.NoRoute : `h${expected}`);
    }));
});
