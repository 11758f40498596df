import type { LogLevel } from "../core/log_level.ts";
import type { OwnedUpstream } from "../queue/owned_upstream.ts";

/** Validated settings of a daemon. */
export interface ServeSettings {
    readonly daemonId: string;
    readonly failureDomain: string;
    readonly region: string;
    readonly callerAddress: string;
    readonly peerAddress: string;
    readonly adminAddress: string;
    readonly platformUrl: string;
    readonly upstreams: readonly OwnedUpstream[];
    /** Addresses of other daemons to ask while the instance list names none. */
    readonly peers: readonly string[];
    /** Undefined when no metrics are sent. */
    readonly metricsAddress: string | undefined;
    /** Address at which metrics are served as text; undefined when they are not served. */
    readonly metricsListenAddress: string | undefined;
    readonly logLevel: LogLevel;
    readonly maxRequestBytes: number;
    /** Most bytes of all answers of upstreams that are being read. */
    readonly answerMemoryBytes: number;
    /** Percent of the repeatable requests of each service that may be hedged; none when absent. */
    readonly hedgePercent?: number;
    /** Memory of the process. */
    readonly memoryBytes: number;
    /** Most connections of callers. */
    readonly maxCallerConnections: number;
    readonly gossipIntervalMs: number;
    readonly watchMs: number;
    readonly startWaitMs: number;
    readonly drainGraceMs: number;
    readonly drainQuietMs: number;
    readonly drainTimeoutMs: number;
    /**
     * Milliseconds after the start of a drain at which callers that still wait are answered; absent when the
     * process ends only after its last request.
     */
    readonly drainAnswerMs?: number;
}
