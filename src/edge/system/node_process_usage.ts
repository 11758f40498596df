import type { ProcessUsage } from "../../metrics/process_usage.ts";
import type { ProcessUsageReader } from "../../metrics/process_usage_reader.ts";

/** Reads the usage counters of Node.js and the operating system. */
export class NodeProcessUsage implements ProcessUsageReader {
    getUsage(): ProcessUsage {
        const { involuntaryContextSwitches, systemCPUTime, userCPUTime } = process.resourceUsage();
        return {
            processorMs: (userCPUTime + systemCPUTime) / 1_000,
            loopActiveMs: performance.eventLoopUtilization().active,
            preemptions: involuntaryContextSwitches,
        };
    }
}
