import fc from "fast-check";
import { RevocationFault } from "./fakes/revocation_fault.ts";

/** Generates up to six faults that end at least 10 s before the end of a run. */
export function createRevocationFaultsArbitrary() {
    return fc.array(
        fc.record({
            kind: fc.constantFrom(...Object.values(RevocationFault)),
            daemon: fc.nat(7),
            startMs: fc.integer({ min: 3_000, max: 14_000 }),
            durationMs: fc.integer({ min: 100, max: 8_000 }),
        }),
        { maxLength: 6 },
    );
}
