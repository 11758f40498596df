import type { CallerLimits } from "./caller_limits.ts";

/** Limits of a configuration that sets none. */
export const defaultCallerLimits: CallerLimits = {
    maxHeaderBytes: 65_536,
    maxBodyBytes: 67_108_864,
    headerTimeoutMs: 60_000,
    // Longer than the keep-alive time of clients, so that no connection is closed while it is reused.
    idleTimeoutMs: 75_000,
};
