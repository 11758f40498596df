import { defineCommand } from "citty";
import { formatTrace } from "../preview/format_trace.ts";
import { adminSpecs } from "../settings/admin_specs.ts";
import { createSettingArgs } from "./create_setting_args.ts";
import { ProcessOutput } from "./process_output.ts";
import { runAdmin } from "./run_admin.ts";

/** The key is no flag, because other users of the machine can read the flags of a process. */
const keyVariable = "ZINNIAGLADE_PREVIEW_KEY";

export const previewCommand = defineCommand({
    meta: {
        name: "preview",
        description:
            `Tell where a request would go now, and why, without sending it. ${keyVariable} holds the key of an organisation, if any.`,
    },
    args: {
        ...createSettingArgs(adminSpecs.filter(({ name }) => name === "admin-address")),
        method: { type: "string", description: "method of the request", default: "GET" },
        host: { type: "string", description: "host of the request", default: "" },
        path: { type: "string", description: "path and query of the request", required: true },
        json: { type: "boolean", description: "print the trace as JSON", default: false },
    },
    run: async ({ args }) => {
        const { "admin-address": address, host, json, method, path } = args;
        const query = { method, host, target: path, credential: process.env[keyVariable] };
        process.exitCode = await runAdmin(
            typeof address === "string" ? [`--admin-address=${address}`] : [],
            client => client.fetchPreview(query),
            new ProcessOutput(),
            json ? undefined : formatTrace,
        );
    },
});
