/**
 * Administration interface: `GET /v1/status` and `POST /v1/drain`.
 *
 * @module
 */
import Koa from "koa";
import type { Result } from "neverthrow";
import { codeTable } from "../../core/code_table.ts";
import type { Failure } from "../../core/failure.ts";
import type { DrainReport } from "../../lifecycle/drain_report.ts";
import type { DaemonStatus } from "../../status/daemon_status.ts";

interface AdminAppOptions {
    readonly buildStatus: () => DaemonStatus;
    /** Resolves when the daemon has no more work. */
    readonly drain: (cause: string) => Promise<Result<DrainReport, Failure>>;
}

/** Builds the koa application that the commands `show` and `drain` call. */
export function createAdminApp(options: AdminAppOptions): Koa {
    const app = new Koa();
    app.use(async context => {
        if (context.method === "GET" && context.path === "/v1/status") {
            context.body = options.buildStatus();
        }
        else if (context.method === "POST" && context.path === "/v1/drain") {
            const report = await options.drain("operator");
            context.set("connection", "close");
            context.status = report.isOk() ? 200 : codeTable[report.error.code].status;
            context.body = report.isOk() ? report.value : report.error;
        }
        else {
            context.status = 404;
        }
    });
    app.on("error", () => undefined);
    return app;
}
