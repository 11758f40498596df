import type { OperationLimits } from "./operation_limits.ts";

/**
 * Limits for a peak of 80 requests per second and keys that are valid for at most 10 minutes, which is 48,000
 * keys. The kept answers take an eighth of the 128 MB that a daemon may use.
 */
export const defaultOperationLimits: OperationLimits = {
    records: 50_000,
    closedRecords: 50_000,
    totalBytes: 16 * 1024 * 1024,
    answerBytes: 256 * 1024,
    validMs: 600_000,
};
