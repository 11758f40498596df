import type { Explanation } from "./explanation.ts";

/** Formats the explanation as text: one row for each log line, then the cause. */
export function formatExplanation({ cause, lines, requestId }: Explanation): string {
    const rows = lines.map(({ daemon, event, fields, time }) => {
        const shown = Object.entries(fields).filter(([name]) => name !== "requestId" && name !== "level")
            .map(([name, value]) => `${name}=${String(value)}`);
        return `${time} ${daemon} ${event} ${shown.join(" ")}\n`;
    });
    return `request ${requestId}\n${rows.join("")}cause: ${cause}\n`;
}
