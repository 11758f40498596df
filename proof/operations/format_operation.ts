import { Buffer } from "node:buffer";

/**
 * Formats the identifier of a request's operation, which is its body: each operation of a run has a unique
 * body.
 */
export function formatOperation({ body }: { readonly body: Uint8Array; }): string {
    return Buffer.from(body).toString();
}
