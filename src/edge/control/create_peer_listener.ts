import type { ConnectRouter } from "@connectrpc/connect";
import { connectNodeAdapter } from "@connectrpc/connect-node";
import type Koa from "koa";
import type { RequestListener } from "node:http";

/** Serves control messages by connect and all other requests by the koa application. */
export function createPeerListener(app: Koa, routes: (router: ConnectRouter) => void): RequestListener {
    const handle = app.callback();
    return connectNodeAdapter({
        routes,
        fallback: (request, response) => {
            void handle(request, response as Parameters<typeof handle>[1]);
        },
    });
}
