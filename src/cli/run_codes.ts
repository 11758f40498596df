import { listCodes } from "../core/list_codes.ts";
import { ExitCode } from "./exit_code.ts";
import type { Output } from "./output.ts";

/** The command `codes`: prints each code with its HTTP status, default outcome and meaning. */
export function runCodes(output: Output): ExitCode {
    const rows = listCodes().map(({ code, name, status, outcome, summary }) =>
        `${code.toString().padStart(4)}  ${name.padEnd(25)} ${status}  ${outcome.padEnd(12)}  ${summary}\n`
    );
    output.write(["code  name                      HTTP outcome       meaning\n", ...rows].join(""));
    return ExitCode.Ok;
}
