import { defineCommand } from "citty";
import { FileTextReader } from "./file_text_reader.ts";
import { ProcessOutput } from "./process_output.ts";
import { runCheck } from "./run_check.ts";

/** `zinniaglade check`. */
export const checkCommand = defineCommand({
    meta: {
        name: "check",
        description: "Check a configuration; each problem is one line with line and column.",
    },
    args: {
        file: { type: "positional", description: "file of the configuration", required: true },
        explain: {
            type: "boolean",
            description: "print the configuration with every value filled in",
            default: false,
        },
    },
    run: ({ args }) => {
        process.exitCode = runCheck(args, new FileTextReader(), new ProcessOutput());
    },
});
