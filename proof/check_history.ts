/**
 * Checks the recorded history of a concurrent run against invariants.
 *
 * @example
 * ```ts
 * const violations = checkHistory(recorder.list(), [new AtMostOncePredicate()]);
 * ```
 *
 * @module
 */
import type { HistoryEvent } from "./history_event.ts";
import type { Predicate } from "./predicate.ts";
import type { Violation } from "./violation.ts";

/** Applies all predicates to the events in chronological order and returns their violations. */
export function checkHistory(
    events: readonly HistoryEvent[],
    predicates: readonly Predicate[],
): readonly Violation[] {
    const history = [...events].sort((left, right) => left.atMs - right.atMs);
    return predicates.flatMap(predicate => predicate.check(history));
}
