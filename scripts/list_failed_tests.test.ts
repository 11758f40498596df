import assert from "node:assert/strict";
import { test } from "node:test";
import { listFailedTests } from "./list_failed_tests.ts";
import { listKnownFailures } from "./list_known_failures.ts";

test("failed tests of both reports are found by name, so that only listed failures are tolerated", () => {
    const unit =
        "✔ works (1.5ms)\n✖ breaks, twice (20.25ms)\nℹ fail 1\n✖ failing tests:\n✖ breaks, twice (20.25ms)\n";
    const features =
        "Failures:\n\n1) Scenario: a drain cuts nothing # features/a.feature:3\n   ✖ Then it holds # b.ts:1\n";
    assert.deepEqual(listFailedTests(unit, features), ["breaks, twice", "a drain cuts nothing"]);
    assert.deepEqual(listKnownFailures("# comment\ntest: breaks, twice\nseen: once\n"), ["breaks, twice"]);
});
