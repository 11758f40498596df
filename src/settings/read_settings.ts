/**
 * Reads settings from flags and environment variables; a flag takes precedence over its variable.
 *
 * @example
 * ```ts
 * const values = readSettings(serveSpecs, { "daemon-id": "a1" }, process.env);
 * ```
 *
 * @module
 */
import { err, ok, type Result } from "neverthrow";
import { Code } from "../core/code.ts";
import { createFailure } from "../core/create_failure.ts";
import type { Failure } from "../core/failure.ts";
import { checkSetting } from "./check_setting.ts";
import { formatVariableName } from "./format_variable_name.ts";
import type { SettingSpec } from "./setting_spec.ts";

const variablePrefix = "ZINNIAGLADE_";

/** Value of each setting by name. Fails with BadSetting, naming the flag or variable. */
export function readSettings(
    specs: readonly SettingSpec[],
    flags: Readonly<Record<string, string>>,
    environment: Readonly<Record<string, string | undefined>>,
): Result<ReadonlyMap<string, string>, Failure> {
    const unknown = findUnknown(specs, flags, environment);
    if (unknown !== undefined) {
        return err(createBadSetting(`${unknown} is not known`));
    }
    const values = new Map<string, string>();
    for (const spec of specs) {
        const flag = flags[spec.name];
        const variable = formatVariableName(spec.name);
        const origin = flag !== undefined ? `--${spec.name}` : variable;
        const value = flag ?? environment[variable] ?? spec.defaultValue;
        if (value === undefined) {
            return err(createBadSetting(`--${spec.name} or ${variable} is required`));
        }
        const problem = value === "" && spec.defaultValue === "" ? undefined : checkSetting(spec, value);
        if (problem !== undefined) {
            return err(createBadSetting(`${origin}: ${problem}`));
        }
        values.set(spec.name, value);
    }
    return ok(values);
}

function findUnknown(
    specs: readonly SettingSpec[],
    flags: Readonly<Record<string, string>>,
    environment: Readonly<Record<string, string | undefined>>,
): string | undefined {
    const unknownFlag = Object.keys(flags).find(name => !specs.some(spec => spec.name === name));
    if (unknownFlag !== undefined) {
        return `--${unknownFlag}`;
    }
    const variables = new Set(specs.map(spec => formatVariableName(spec.name)));
    return Object.keys(environment).find(name => name.startsWith(variablePrefix) && !variables.has(name));
}

function createBadSetting(detail: string): Failure {
    return createFailure(Code.BadSetting, { detail });
}
