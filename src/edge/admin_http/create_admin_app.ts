/**
 * Administration interface: `GET /v1/status`, `POST /v1/preview` and `POST /v1/drain`.
 *
 * @module
 */
import Koa from "koa";
import type { Result } from "neverthrow";
import getRawBody from "raw-body";
import { codeTable } from "../../core/code_table.ts";
import type { Failure } from "../../core/failure.ts";
import type { DrainReport } from "../../lifecycle/drain_report.ts";
import type { DecisionTrace } from "../../preview/decision_trace.ts";
import type { PreviewQuery } from "../../preview/preview_query.ts";
import type { DaemonStatus } from "../../status/daemon_status.ts";
import { decodePreviewQuery } from "./decode_preview_query.ts";

/** Most bytes of a preview query; a caller's head has at most 16 KB. */
const maxQueryBytes = 65_536;

interface AdminAppOptions {
    readonly buildStatus: () => DaemonStatus;
    readonly buildPreview: (query: PreviewQuery) => DecisionTrace;
    /** Resolves when the daemon has no more work. */
    readonly drain: (cause: string) => Promise<Result<DrainReport, Failure>>;
}

/** Builds the koa application that the commands `show`, `preview` and `drain` call. */
export function createAdminApp(options: AdminAppOptions): Koa {
    const app = new Koa();
    app.use(async context => {
        if (context.method === "GET" && context.path === "/v1/status") {
            context.body = options.buildStatus();
        }
        else if (context.method === "POST" && context.path === "/v1/preview") {
            const text = await getRawBody(context.req, { limit: maxQueryBytes, encoding: "utf8" });
            const query = decodePreviewQuery(text);
            context.status = query.isOk() ? 200 : codeTable[query.error.code].status;
            context.body = query.isOk() ? options.buildPreview(query.value) : query.error;
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
