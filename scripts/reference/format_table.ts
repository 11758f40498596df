/** A table in Markdown. */
export function formatTable(head: readonly string[], rows: readonly (readonly string[])[]): string {
    const lines = [head, head.map(() => "---"), ...rows].map(cells => {
        const escaped = cells.map(cell => cell.replaceAll("|", "\\|"));
        return `| ${escaped.join(" | ")} |\n`;
    });
    return lines.join("");
}
