import type { ProcessUsage } from "./process_usage.ts";

/** Usage of resources by this process. */
export interface ProcessUsageReader {
    getUsage(): ProcessUsage;
}
