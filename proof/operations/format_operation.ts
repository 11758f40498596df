import { Buffer } from "node:buffer";

/** Names the operation of a request: each caller of a run gives each of its operations another body. */
export function formatOperation({ body }: { readonly body: Uint8Array; }): string {
    return Buffer.from(body).toString();
}
