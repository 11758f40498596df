import type { IncomingHttpHeaders } from "node:http";

/**
 * True when a response that ends early can be told from a whole one: by its length, by its chunks or because it
 * has no body. Without these, the end of the connection ends the response.
 */
export function hasSelfDefinedLength(method: string, status: number, headers: IncomingHttpHeaders): boolean {
    const isChunked = headers["transfer-encoding"]?.toLowerCase().includes("chunked") ?? false;
    const hasNoBody = method === "HEAD" || status === 204 || status === 304;
    return isChunked || hasNoBody || headers["content-length"] !== undefined;
}
