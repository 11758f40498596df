import { Code } from "../core/code.ts";
import { createFailure } from "../core/create_failure.ts";
import type { Failure } from "../core/failure.ts";
import { formatProblem } from "./format_problem.ts";
import type { Problem } from "./problem.ts";

/** Failure for an invalid configuration: code and text of the first problem, and the number of problems. */
export function createProblemFailure(problems: readonly Problem[]): Failure {
    const [first] = problems;
    if (first === undefined) {
        return createFailure(Code.ConfigSyntax);
    }
    const others = problems.length > 1 ? ` (problems in total: ${problems.length})` : "";
    return createFailure(first.code, { detail: `${formatProblem(first)}${others}` });
}
