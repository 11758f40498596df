import type { MessageHeader } from "../../core/message_header.ts";

/** Headers that apply to one connection only (RFC 9110, section 7.6.1) or that each hop sets itself. */
const hopByHopHeaders: ReadonlySet<string> = new Set([
    "connection",
    "content-length",
    "expect",
    "host",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
]);

/** Returns the headers of a message that may be forwarded to the next hop. */
export function formatEndToEndHeaders(
    headers: Readonly<Record<string, string | readonly string[] | undefined>>,
): MessageHeader[] {
    const result: MessageHeader[] = [];
    for (const [name, value] of Object.entries(headers)) {
        const lowerName = name.toLowerCase();
        if (value === undefined || hopByHopHeaders.has(lowerName)) {
            continue;
        }
        for (const item of typeof value === "string" ? [value] : value) {
            result.push({ name: lowerName, value: item });
        }
    }
    return result;
}
