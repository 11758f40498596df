import assert from "node:assert/strict";
import { test } from "node:test";
import { Code } from "../core/code.ts";
import { Outcome } from "../core/outcome.ts";
import { ParseConfigFilter } from "./parse_config_filter.ts";
import { ConfigParser } from "./sections/config_parser.ts";

test("an invalid version gives a failure that names its first problem, and the next valid version passes", () => {
    const filter = new ParseConfigFilter(new ConfigParser());
    const source = "team: t\nservices:\n  a: { members: 2, floor: 3 }\n  b: { members: 1, floor: 2 }\n";
    assert.deepEqual(filter.apply({ name: "config", source, parts: new Map() })._unsafeUnwrapErr(), {
        code: Code.ConfigFloorAboveMembers,
        outcome: Outcome.NotExecuted,
        detail: "config:3:27: error 4007: services.a.floor: the floor 3 is above the 2 members of the service"
            + " (problems in total: 2)",
    });
    const valid = source.replaceAll(/floor: \d/g, "floor: 1");
    const parsed = filter.apply({ name: "config", source: valid, parts: new Map() })._unsafeUnwrap();
    assert.deepEqual([...parsed.configuration.services.keys()], ["a", "b"]);
});
