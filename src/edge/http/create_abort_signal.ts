import type { ServerResponse } from "node:http";

/** Signal that is aborted when the peer closes its connection before the response has been sent. */
export function createAbortSignal(response: ServerResponse): AbortSignal {
    const controller = new AbortController();
    response.once("close", () => {
        if (!response.writableFinished) {
            controller.abort();
        }
    });
    return controller.signal;
}
