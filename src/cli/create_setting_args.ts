import type { ArgsDef } from "citty";
import { formatVariableName } from "../settings/format_variable_name.ts";
import type { SettingSpec } from "../settings/setting_spec.ts";

/** Flags of a command for its help text, each with its environment variable, unit and default. */
export function createSettingArgs(specs: readonly SettingSpec[]): ArgsDef {
    return Object.fromEntries(specs.map(spec => [spec.name, {
        type: "string" as const,
        description: formatDescription(spec),
        valueHint: spec.unit === "" ? spec.kind : spec.unit,
    }]));
}

function formatDescription(spec: SettingSpec): string {
    const unit = spec.unit === "" ? "" : `, in ${spec.unit}`;
    const range = spec.min === undefined ? "" : `, ${spec.min} to ${spec.max}`;
    const defaultText = spec.defaultValue === undefined
        ? "required"
        : `default ${spec.defaultValue === "" ? "none" : spec.defaultValue}`;
    return `${spec.description}${unit}${range}; ${defaultText}; ${formatVariableName(spec.name)}`;
}
