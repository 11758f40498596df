import { BoundedMemoryAccount } from "./bounded_memory_account.ts";
import { computeMemoryLimits } from "./compute_memory_limits.ts";
import { MemoryGuard } from "./memory_guard.ts";
import { ProgressTable } from "./progress_table.ts";

type Parts = Pick<
    ConstructorParameters<typeof MemoryGuard>[0],
    "collector" | "timers" | "logger" | "metrics"
>;

/** Builds the account of a process with `memoryBytes` bytes of memory, and its guard. */
export function createMemoryGuard(memoryBytes: number, parts: Parts): MemoryGuard {
    const account = new BoundedMemoryAccount(computeMemoryLimits(memoryBytes));
    return new MemoryGuard({ ...parts, account, progress: new ProgressTable() });
}
