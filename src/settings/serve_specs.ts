import { SettingKind } from "./setting_kind.ts";
import type { SettingSpec } from "./setting_spec.ts";

const { Address, Addresses, Integer, LogLevel, Name, Upstreams, Url } = SettingKind;

function buildSpec(
    name: string,
    kind: SettingKind,
    defaultValue: string | undefined,
    description: string,
): SettingSpec {
    return { name, kind, unit: "", defaultValue, description };
}

function buildInteger(
    name: string,
    unit: string,
    defaultValue: number,
    limits: readonly [min: number, max: number],
    description: string,
): SettingSpec {
    return {
        name,
        kind: Integer,
        unit,
        defaultValue: `${defaultValue}`,
        description,
        min: limits[0],
        max: limits[1],
    };
}

/** Settings of `zinniaglade serve`. */
export const serveSpecs: readonly SettingSpec[] = [
    buildSpec("daemon-id", Name, undefined, "identifier of this daemon, unique in the fleet"),
    buildSpec("failure-domain", Name, undefined, "failure domain of this instance"),
    buildSpec("region", Name, "local", "region of this instance"),
    buildSpec("caller-address", Address, undefined, "listen address for callers"),
    buildSpec("peer-address", Address, undefined, "listen address for other daemons"),
    buildSpec("admin-address", Address, undefined, "listen address for the commands show and drain"),
    buildSpec("platform-url", Url, undefined, "base URL of the platform's configuration service"),
    buildSpec(
        "upstreams",
        Upstreams,
        "",
        "upstreams that this daemon owns: ID=SERVICE@ADDRESS/SLOTS, comma-separated",
    ),
    buildSpec(
        "peers",
        Addresses,
        "",
        "other daemons to ask while the instance list names none, comma-separated",
    ),
    buildSpec("metrics-address", Address, "", "address of a StatsD receiver; without it no metrics are sent"),
    buildSpec("metrics-listen-address", Address, "", "listen address for metrics as text, at /metrics"),
    buildSpec("log-level", LogLevel, "info", "debug, info, warn or error"),
    buildInteger(
        "max-request-bytes",
        "bytes",
        1_048_576,
        [1, 67_108_864],
        "largest request body of any route",
    ),
    buildInteger(
        "answer-memory-bytes",
        "bytes",
        67_108_864,
        [65_536, 1_073_741_824],
        "all answers of upstreams that are being read; the process takes up to eight times as much",
    ),
    buildInteger(
        "hedge-percent",
        "percent",
        0,
        [0, 100],
        "repeatable requests of each service that may be sent to a second upstream when they are late; 0 is off",
    ),
    buildInteger(
        "memory-bytes",
        "bytes",
        536_870_912,
        [134_217_728, 68_719_476_736],
        "memory of the process; bounds the bodies and answers that it holds",
    ),
    buildInteger(
        "max-caller-connections",
        "",
        4_096,
        [1, 1_000_000],
        "connections of callers; beyond it, unused and idle ones are closed",
    ),
    buildInteger(
        "gossip-interval-ms",
        "ms",
        1_000,
        [50, 60_000],
        "time between exchanges with other daemons",
    ),
    buildInteger(
        "watch-ms",
        "ms",
        8_000,
        [100, 60_000],
        "how long one watch of the platform waits for a change",
    ),
    buildInteger(
        "start-wait-ms",
        "ms",
        5_000,
        [0, 600_000],
        "how long a starting daemon waits for a configuration",
    ),
    buildInteger(
        "drain-grace-ms",
        "ms",
        3_000,
        [0, 600_000],
        "how long a draining daemon still accepts callers",
    ),
    buildInteger(
        "drain-quiet-ms",
        "ms",
        500,
        [0, 60_000],
        "time without a request after which a drain closes the ports",
    ),
    buildInteger(
        "drain-timeout-ms",
        "ms",
        60_000,
        [100, 3_600_000],
        "time limit of a drain, including the grace period",
    ),
];
