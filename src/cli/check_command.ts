import { defineCommand } from "citty";
import { FileTextReader } from "./file_text_reader.ts";
import { ProcessOutput } from "./process_output.ts";
import { runCheck } from "./run_check.ts";

export const checkCommand = defineCommand({
    meta: {
        name: "check",
        description: "Check a configuration and print each problem with its line and column.",
    },
    args: {
        file: { type: "positional", description: "configuration file", required: true },
        explain: {
            type: "boolean",
            description: "print the configuration, including default values",
            default: false,
        },
    },
    run: ({ args }) => {
        process.exitCode = runCheck(args, new FileTextReader(), new ProcessOutput());
    },
});
