import { defineCommand } from "citty";
import { ProcessOutput } from "./process_output.ts";
import { runCodes } from "./run_codes.ts";

export const codesCommand = defineCommand({
    meta: { name: "codes", description: "List the result codes." },
    run: () => {
        process.exitCode = runCodes(new ProcessOutput());
    },
});
