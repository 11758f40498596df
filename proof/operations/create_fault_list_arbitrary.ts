import fc from "fast-check";
import type { Fault } from "./fault.ts";
import { FaultKind } from "./fault_kind.ts";

/** Generates up to 20 faults of the given kinds; fast-check shrinks the list of a failing run. */
export function createFaultListArbitrary(
    kinds: readonly FaultKind[] = Object.values(FaultKind),
): fc.Arbitrary<Fault[]> {
    return fc.array(
        fc.record({
            kind: fc.constantFrom(...kinds),
            atMs: fc.nat(8_000),
            daemon: fc.nat(2),
            peer: fc.nat(2),
            durationMs: fc.integer({ min: 50, max: 1_500 }),
        }),
        { maxLength: 20, size: "max" },
    );
}
