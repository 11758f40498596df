import fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import { checkHistory } from "../check_history.ts";
import { AtMostOncePredicate } from "../predicates/at_most_once_predicate.ts";
import { OwnAnswerPredicate } from "../predicates/own_answer_predicate.ts";
import { TruthfulOutcomePredicate } from "../predicates/truthful_outcome_predicate.ts";
import { createFaultListArbitrary } from "./create_fault_list_arbitrary.ts";
import { DaemonVariant } from "./daemon_variant.ts";
import { FixedDelayHedgingPolicy } from "./fixed_delay_hedging_policy.ts";
import { runOperations } from "./run_operations.ts";

const predicates = [
    new AtMostOncePredicate(),
    new TruthfulOutcomePredicate(),
    new OwnAnswerPredicate(),
];

class HedgingVariant extends DaemonVariant {
    override createHedging(): FixedDelayHedgingPolicy {
        return new FixedDelayHedgingPolicy();
    }
}

async function checkVariant(variant: DaemonVariant): Promise<void> {
    const property = fc.asyncProperty(fc.integer(), createFaultListArbitrary(), async (seed, faults) => {
        const history = await runOperations({ seed, faults, variant });
        assert.deepEqual(checkHistory(history, predicates), []);
    });
    await fc.assert(property, { seed: 1, numRuns: 100 });
}

test("requirements 2, 3 and 4 hold under pauses, restarts, drains, link loss and clock steps", () =>
    checkVariant(new DaemonVariant()));

test("requirements 2, 3 and 4 hold under the same faults when repeatable requests are hedged", () =>
    checkVariant(new HedgingVariant()));
