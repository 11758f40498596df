import { defineCommand } from "citty";
import { FileLineReader } from "./file_line_reader.ts";
import { FileTextReader } from "./file_text_reader.ts";
import { ProcessOutput } from "./process_output.ts";
import { runExplain } from "./run_explain.ts";
import { runSummary } from "./run_summary.ts";

export const explainCommand = defineCommand({
    meta: {
        name: "explain",
        description:
            "Show from the logs of several daemons what happened to one request: explain ID FILE...; or why requests were not served: explain --summary FILE...",
    },
    args: {
        id: {
            type: "positional",
            description: "identifier of the request; none with --summary",
            required: true,
        },
        file: { type: "positional", description: "log files; - is standard input", required: false },
        format: { type: "string", description: "text or json", default: "text" },
        summary: { type: "boolean", description: "sum up all requests by service and cause", default: false },
        since: { type: "string", description: "with --summary: only lines from this time on (ISO 8601)" },
        until: { type: "string", description: "with --summary: only lines before this time (ISO 8601)" },
        service: { type: "string", description: "with --summary: only requests for this service" },
    },
    run: async ({ args }) => {
        const output = new ProcessOutput();
        const { format, id, since, service, until } = args;
        if (args.summary) {
            const options = { files: args._, format, since, until, service };
            process.exitCode = await runSummary(options, new FileLineReader(), output);
            return;
        }
        const [, ...files] = args._;
        process.exitCode = runExplain({ id, files, format }, new FileTextReader(), output);
    },
});
