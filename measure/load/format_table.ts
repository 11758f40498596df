/** Formats a Markdown table. */
export function formatTable(header: readonly string[], rows: readonly (readonly string[])[]): string {
    return [header, header.map(() => "---"), ...rows].map(row => `| ${row.join(" | ")} |`).join("\n");
}
