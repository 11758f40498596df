import { listCodes } from "../../src/core/list_codes.ts";
import { formatTable } from "./format_table.ts";

const introduction = `# Codes

Every result has a number: 0 is success, 1xxx the entry daemon, 2xxx the owner, 3xxx the hop between daemons, 4xxx configuration and platform, 5xxx settings and administration. A caller finds it in the header \`Zinniaglade-Code\` and in the problem document, together with the outcome. The status and outcome below apply unless the place of the failure knows better. \`zinniaglade codes\` prints the same rows; \`node --import tsx scripts/write_reference.ts\` writes this page from \`src/core/code_table.ts\`.
`;

/** The text of docs/codes.md. */
export function formatCodesPage(): string {
    const rows = listCodes().map(({ code, name, status, outcome, summary }) => [
        `${code}`,
        name,
        `${status}`,
        outcome,
        summary,
    ]);
    return `${introduction}\n${formatTable(["code", "name", "HTTP status", "outcome", "meaning"], rows)}`;
}
