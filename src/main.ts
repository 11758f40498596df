/**
 * Entry point of the program.
 *
 * @module
 */
import { defineCommand, runMain } from "citty";
import { checkCommand } from "./cli/check_command.ts";
import { codesCommand } from "./cli/codes_command.ts";
import { drainCommand } from "./cli/drain_command.ts";
import { explainCommand } from "./cli/explain_command.ts";
import { previewCommand } from "./cli/preview_command.ts";
import { serveCommand } from "./cli/serve_command.ts";
import { showCommand } from "./cli/show_command.ts";

const main = defineCommand({
    meta: {
        name: "zinniaglade",
        version: "0.1.0",
        description: "Proxy fleet for upstreams with gray failures",
    },
    subCommands: {
        serve: serveCommand,
        check: checkCommand,
        show: showCommand,
        preview: previewCommand,
        drain: drainCommand,
        codes: codesCommand,
        explain: explainCommand,
    },
});

void runMain(main);
