import type { Readable } from "node:stream";

/** Gives up a response body together with its connection. undici reports that as an error event of the body. */
export function closeBody(body: Readable): void {
    body.on("error", () => undefined);
    body.destroy();
}
