import type { Clock } from "../core/clock.ts";
import type { Logger } from "../core/logger.ts";
import type { Metrics } from "../core/metrics.ts";
import type { RandomSource } from "../core/random_source.ts";
import type { Timers } from "../core/timers.ts";
import type { ReaderRole } from "./reader_role.ts";

/** Dependencies and intervals of the watch of one document. */
export interface DocumentWatchOptions {
    readonly role: ReaderRole;
    readonly clock: Clock;
    readonly timers: Timers;
    readonly random: RandomSource;
    readonly logger: Logger;
    readonly metrics: Metrics;
    /** Longest time in milliseconds that one watch waits at the platform; the default is 8 s. */
    readonly watchMs?: number;
    /**
     * Milliseconds between reads of the current version, whichever it is; the default is 8 s. A platform that
     * went back to lower versions can publish a version that was seen before. Only such a read detects it,
     * and it must be active within 16 s.
     */
    readonly pollIntervalMs?: number;
    /** Shortest and longest delay in milliseconds after a failure; the defaults are 250 ms and 5 s. */
    readonly backoffMinMs?: number;
    readonly backoffMaxMs?: number;
    /** Milliseconds that a call may take beyond its waiting time; the default is 2 s. */
    readonly callTimeoutMs?: number;
}
