import { defineCommand } from "citty";
import { FileTextReader } from "./file_text_reader.ts";
import { ProcessOutput } from "./process_output.ts";
import { runExplain } from "./run_explain.ts";

export const explainCommand = defineCommand({
    meta: {
        name: "explain",
        description:
            "Show what happened to one request, from the logs of several daemons: explain ID FILE...",
    },
    args: {
        id: { type: "positional", description: "identifier of the request", required: true },
        file: { type: "positional", description: "log files; - is standard input", required: true },
        format: { type: "string", description: "text or json", default: "text" },
    },
    run: ({ args }) => {
        const [, ...files] = args._;
        const options = { id: args.id, files, format: args.format };
        process.exitCode = runExplain(options, new FileTextReader(), new ProcessOutput());
    },
});
