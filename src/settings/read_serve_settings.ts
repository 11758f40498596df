import type { Result } from "neverthrow";
import type { Failure } from "../core/failure.ts";
import type { LogLevel } from "../core/log_level.ts";
import { parseUpstreams } from "./parse_upstreams.ts";
import { readSettings } from "./read_settings.ts";
import type { ServeSettings } from "./serve_settings.ts";
import { serveSpecs } from "./serve_specs.ts";

/** Settings of `zinniaglade serve`. Fails with BadSetting. */
export function readServeSettings(
    flags: Readonly<Record<string, string>>,
    environment: Readonly<Record<string, string | undefined>>,
): Result<ServeSettings, Failure> {
    return readSettings(serveSpecs, flags, environment).map(values => {
        const getText = (name: string) => values.get(name) ?? "";
        const getNumber = (name: string) => Number(values.get(name));
        return {
            daemonId: getText("daemon-id"),
            failureDomain: getText("failure-domain"),
            region: getText("region"),
            callerAddress: getText("caller-address"),
            peerAddress: getText("peer-address"),
            adminAddress: getText("admin-address"),
            platformUrl: getText("platform-url"),
            upstreams: parseUpstreams(getText("upstreams")).unwrapOr([]),
            peers: getText("peers").split(",").filter(peer => peer !== ""),
            metricsAddress: getText("metrics-address") || undefined,
            metricsListenAddress: getText("metrics-listen-address") || undefined,
            logLevel: getText("log-level") as LogLevel,
            maxRequestBytes: getNumber("max-request-bytes"),
            answerMemoryBytes: getNumber("answer-memory-bytes"),
            hedgePercent: getNumber("hedge-percent"),
            memoryBytes: getNumber("memory-bytes"),
            maxCallerConnections: getNumber("max-caller-connections"),
            gossipIntervalMs: getNumber("gossip-interval-ms"),
            watchMs: getNumber("watch-ms"),
            startWaitMs: getNumber("start-wait-ms"),
            drainGraceMs: getNumber("drain-grace-ms"),
            drainQuietMs: getNumber("drain-quiet-ms"),
            drainTimeoutMs: getNumber("drain-timeout-ms"),
        };
    });
}
