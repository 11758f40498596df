import { defineCommand } from "citty";
import { buildDaemon } from "../build_daemon.ts";
import { readServeSettings } from "../settings/read_serve_settings.ts";
import { serveSpecs } from "../settings/serve_specs.ts";
import { createSettingArgs } from "./create_setting_args.ts";
import { ExitCode } from "./exit_code.ts";
import { formatFailure } from "./format_failure.ts";
import { parseFlags } from "./parse_flags.ts";
import { runServe } from "./run_serve.ts";

export const serveCommand = defineCommand({
    meta: {
        name: "serve",
        description: "Run a daemon. Log and audit trail are JSON lines on standard output.",
    },
    args: createSettingArgs(serveSpecs),
    run: async ({ rawArgs }) => {
        const settings = parseFlags(serveSpecs, rawArgs).andThen(flags =>
            readServeSettings(flags, process.env)
        );
        if (settings.isErr()) {
            process.stderr.write(formatFailure(settings.error));
            process.exitCode = ExitCode.BadUsage;
            return;
        }
        const daemon = buildDaemon(settings.value);
        process.exitCode = await runServe(daemon, { writeError: line => void process.stderr.write(line) });
    },
});
