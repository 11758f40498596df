import { createMemoryGuard } from "../../src/memory/create_memory_guard.ts";
import type { MemoryGuard } from "../../src/memory/memory_guard.ts";
import { VirtualTime } from "./virtual_time.ts";

const ampleBytes = 1_073_741_824;

/** Guard of a process with ample memory, for tests that are not about it. */
export function createTestMemoryGuard(memoryBytes = ampleBytes): MemoryGuard {
    return createMemoryGuard(memoryBytes, {
        collector: { recordDropped: () => undefined, recordReleased: () => undefined },
        timers: new VirtualTime(),
        logger: { write: () => undefined },
        metrics: { addCount: () => undefined, setGauge: () => undefined, recordTime: () => undefined },
    });
}
