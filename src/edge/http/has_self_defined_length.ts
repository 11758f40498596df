import type { IncomingHttpHeaders } from "node:http";

/**
 * True when a truncated response can be distinguished from a complete one: by its content length, by chunked
 * encoding or because it has no body (RFC 9112, section 6.3). Otherwise it ends with its connection.
 */
export function hasSelfDefinedLength(method: string, status: number, headers: IncomingHttpHeaders): boolean {
    const isChunked = headers["transfer-encoding"]?.toLowerCase().includes("chunked") ?? false;
    const hasNoBody = method === "HEAD" || status === 204 || status === 304;
    return isChunked || hasNoBody || headers["content-length"] !== undefined;
}
