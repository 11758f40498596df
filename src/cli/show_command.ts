import { defineCommand } from "citty";
import { adminSpecs } from "../settings/admin_specs.ts";
import { createSettingArgs } from "./create_setting_args.ts";
import { ProcessOutput } from "./process_output.ts";
import { runAdmin } from "./run_admin.ts";

export const showCommand = defineCommand({
    meta: { name: "show", description: "Print the status of a running daemon as JSON." },
    args: createSettingArgs(adminSpecs),
    run: async ({ rawArgs }) => {
        process.exitCode = await runAdmin(rawArgs, client => client.fetchStatus(), new ProcessOutput());
    },
});
