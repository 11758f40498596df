import type { Problem } from "./problem.ts";

/** One line for a problem, in the form that editors turn into a link. */
export function formatProblem(problem: Problem): string {
    const { source, line, column, code, field, message } = problem;
    return `${source}:${line}:${column}: error ${code}: ${field === "" ? "" : `${field}: `}${message}`;
}
