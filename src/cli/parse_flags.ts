import { err, ok, type Result } from "neverthrow";
import { parseArgs } from "node:util";
import { Code } from "../core/code.ts";
import { createFailure } from "../core/create_failure.ts";
import type { Failure } from "../core/failure.ts";
import type { SettingSpec } from "../settings/setting_spec.ts";

/** Parses flags strictly: citty ignores unknown flags, but a misspelt flag must be reported. */
export function parseFlags(
    specs: readonly SettingSpec[],
    rawArgs: readonly string[],
): Result<Readonly<Record<string, string>>, Failure> {
    const options = Object.fromEntries(specs.map(spec => [spec.name, { type: "string" as const }]));
    try {
        const { values } = parseArgs({ args: [...rawArgs], options, strict: true, allowPositionals: false });
        return ok(values as Record<string, string>);
    }
    catch (error) {
        const detail = (error instanceof Error ? error.message : String(error)).split(". ", 1)[0] ?? "";
        return err(createFailure(Code.BadSetting, { detail }));
    }
}
