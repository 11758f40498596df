import Koa from "koa";
import type { RegistryMetrics } from "./registry_metrics.ts";

/** Builds the koa application that answers `GET /metrics`. */
export function createMetricsApp(metrics: RegistryMetrics): Koa {
    const app = new Koa();
    app.use(async context => {
        if (context.method === "GET" && context.path === "/metrics") {
            context.type = metrics.getContentType();
            context.body = await metrics.format();
        }
        else {
            context.status = 404;
        }
    });
    // A scraper that closes its connection early is not an error of the daemon.
    app.on("error", () => undefined);
    return app;
}
