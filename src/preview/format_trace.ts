import type { DecisionTrace } from "./decision_trace.ts";

/** Formats a trace for a terminal: the result, then one line for each step. */
export function formatTrace({ code, retryAfterMs, steps, upstreamId }: DecisionTrace): string {
    const result = upstreamId === undefined
        ? `refused with code ${code}; ${
            retryAfterMs > 0 ? `may return after ${Math.ceil(retryAfterMs)} ms` : "no time to return is known"
        }`
        : `would go to ${upstreamId}`;
    const lines = steps.map(({ decision, stage, values }) => {
        const fields = Object.entries(values).map(([name, value]) => `${name}=${value}`);
        return `  ${stage}: ${decision}${fields.length === 0 ? "" : ` (${fields.join(", ")})`}`;
    });
    return `${[result, ...lines].join("\n")}\n`;
}
