import type { Readable } from "node:stream";

/** Discards a response body and closes its connection. undici reports that as an error event of the body. */
export function closeBody(body: Readable): void {
    body.on("error", () => undefined);
    body.destroy();
}
