import type { ProcessUsage } from "./process_usage.ts";

/** Provides the resource usage of this process. */
export interface ProcessUsageReader {
    getUsage(): ProcessUsage;
}
