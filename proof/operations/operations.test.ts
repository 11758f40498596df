import fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import { checkHistory } from "../check_history.ts";
import { AtMostOncePredicate } from "../predicates/at_most_once_predicate.ts";
import { OwnAnswerPredicate } from "../predicates/own_answer_predicate.ts";
import { TruthfulOutcomePredicate } from "../predicates/truthful_outcome_predicate.ts";
import { createFaults } from "./create_faults.ts";
import { runOperations } from "./run_operations.ts";
import { Variant } from "./variant.ts";

const predicates = [
    new AtMostOncePredicate(),
    new TruthfulOutcomePredicate(),
    new OwnAnswerPredicate(),
];

test("requirements 2, 3 and 4 hold under pauses, restarts, drains, one-way links and clock steps", async () => {
    const property = fc.asyncProperty(fc.integer(), createFaults(), async (seed, faults) => {
        const history = await runOperations({ seed, faults, variant: new Variant() });
        assert.deepEqual(checkHistory(history, predicates), []);
    });
    await fc.assert(property, { seed: 1, numRuns: 100 });
});
