import type { Timers } from "../../src/core/timers.ts";
import { createMemoryGuard } from "../../src/memory/create_memory_guard.ts";
import type { MemoryGuard } from "../../src/memory/memory_guard.ts";
import { VirtualTime } from "./virtual_time.ts";

const ampleBytes = 1_073_741_824;

/** Guard of a process with ample memory, for tests that are not about it. */
export function createTestMemoryGuard(timers: Timers = new VirtualTime()): MemoryGuard {
    return createMemoryGuard(ampleBytes, {
        collector: {
            recordDropped: () => undefined,
            recordReleased: () => undefined,
            purge: () => undefined,
        },
        timers,
        logger: { write: () => undefined },
        metrics: { addCount: () => undefined, setGauge: () => undefined, recordTime: () => undefined },
    });
}
