import { z } from "zod";
import { LogLevel } from "../core/log_level.ts";
import { parseUpstreams } from "./parse_upstreams.ts";
import { SettingKind } from "./setting_kind.ts";
import type { SettingSpec } from "./setting_spec.ts";

const MAX_PORT = 65_535;
const ipAddress = z.union([z.ipv4(), z.ipv6()]);

/** Problem of the value as one clause; undefined when it is valid. */
export function checkSetting(spec: SettingSpec, value: string): string | undefined {
    switch (spec.kind) {
        case SettingKind.Name:
            return /^[A-Za-z0-9._-]{1,64}$/.test(value)
                ? undefined
                : `'${value}' is not a name of 1 to 64 characters`;
        case SettingKind.Address:
            return isAddress(value) ? undefined : `'${value}' is not an IP address and port`;
        case SettingKind.Addresses:
            return value.split(",").every(isAddress)
                ? undefined
                : `'${value}' is not a list of IP addresses and ports`;
        case SettingKind.Url:
            return URL.canParse(value) && /^https?:/.test(value)
                ? undefined
                : `'${value}' is not an HTTP URL`;
        case SettingKind.LogLevel:
            return (Object.values(LogLevel) as string[]).includes(value)
                ? undefined
                : `'${value}' is not a log level`;
        case SettingKind.Upstreams:
            return parseUpstreams(value).match(() => undefined, problem => problem);
        case SettingKind.Integer:
            return checkInteger(spec, value);
    }
}

function checkInteger(spec: SettingSpec, value: string): string | undefined {
    const { min = Number.MIN_SAFE_INTEGER, max = Number.MAX_SAFE_INTEGER } = spec;
    const number = Number(value);
    return /^-?\d+$/.test(value) && number >= min && number <= max
        ? undefined
        : `'${value}' is not a whole number from ${min} to ${max}`;
}

function isAddress(value: string): boolean {
    const match = /^(?:\[([^\]]+)\]|([^:]+)):(\d{1,5})$/.exec(value);
    const host = match?.[1] ?? match?.[2];
    return ipAddress.safeParse(host).success && Number(match?.[3]) <= MAX_PORT;
}
