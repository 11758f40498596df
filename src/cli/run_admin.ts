import type { Result } from "neverthrow";
import type { Failure } from "../core/failure.ts";
import { AdminClient } from "../edge/admin_http/admin_client.ts";
import { adminSpecs } from "../settings/admin_specs.ts";
import { formatVariableName } from "../settings/format_variable_name.ts";
import { readSettings } from "../settings/read_settings.ts";
import { ExitCode } from "./exit_code.ts";
import { formatFailure } from "./format_failure.ts";
import type { Output } from "./output.ts";
import { parseFlags } from "./parse_flags.ts";

type AdminCall<Value> = (client: AdminClient) => Promise<Result<Value, Failure>>;

/** Sends a request to a running daemon and prints the result, as JSON unless `format` says otherwise. */
export async function runAdmin<Value>(
    rawArgs: readonly string[],
    call: AdminCall<Value>,
    output: Output,
    format: (value: Value) => string = formatJson,
): Promise<ExitCode> {
    // The environment may also contain variables of other commands, which would be reported as unknown.
    const names = new Set(adminSpecs.map(spec => formatVariableName(spec.name)));
    const environment = Object.fromEntries(Object.entries(process.env).filter(([name]) => names.has(name)));
    const values = parseFlags(adminSpecs, rawArgs).andThen(flags =>
        readSettings(adminSpecs, flags, environment)
    );
    if (values.isErr()) {
        output.writeError(formatFailure(values.error));
        return ExitCode.BadUsage;
    }
    const client = new AdminClient({
        address: values.value.get("admin-address") ?? "",
        drainTimeoutMs: Number(values.value.get("drain-timeout-ms")),
    });
    const result = await call(client);
    if (result.isErr()) {
        output.writeError(formatFailure(result.error));
        return ExitCode.Failed;
    }
    output.write(format(result.value));
    return ExitCode.Ok;
}

function formatJson(value: unknown): string {
    return `${JSON.stringify(value, undefined, 4)}\n`;
}
