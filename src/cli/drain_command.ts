import { defineCommand } from "citty";
import { adminSpecs } from "../settings/admin_specs.ts";
import { createSettingArgs } from "./create_setting_args.ts";
import { ProcessOutput } from "./process_output.ts";
import { runAdmin } from "./run_admin.ts";

export const drainCommand = defineCommand({
    meta: {
        name: "drain",
        description:
            "Ask a running daemon to leave the fleet, wait until its work is finished, and print a report.",
    },
    args: createSettingArgs(adminSpecs),
    run: async ({ rawArgs }) => {
        process.exitCode = await runAdmin(rawArgs, client => client.drain(), new ProcessOutput());
    },
});
