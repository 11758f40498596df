import { SettingKind } from "./setting_kind.ts";
import type { SettingSpec } from "./setting_spec.ts";

/** Settings of `zinniaglade show` and `zinniaglade drain`. */
export const adminSpecs: readonly SettingSpec[] = [
    {
        name: "admin-address",
        kind: SettingKind.Address,
        unit: "",
        defaultValue: undefined,
        description: "address of the daemon's administration interface",
    },
    {
        name: "drain-timeout-ms",
        kind: SettingKind.Integer,
        unit: "ms",
        defaultValue: "90000",
        description: "how long to wait for a drain",
        min: 100,
        max: 3_600_000,
    },
];
