import assert from "node:assert/strict";
import { test } from "node:test";
import { ExitCode } from "../../cli/exit_code.ts";
import { runAdmin } from "../../cli/run_admin.ts";
import type { PreviewQuery } from "../../preview/preview_query.ts";
import { HttpListener } from "../http/http_listener.ts";
import { createAdminApp } from "./create_admin_app.ts";

test("a preview passes from the command to the daemon and back, and a bad one repeats no key", async context => {
    const queries: PreviewQuery[] = [];
    const app = createAdminApp({
        buildStatus: () => assert.fail(),
        buildPreview: query => {
            queries.push(query);
            return { steps: [], upstreamId: "u1", code: 0, retryAfterMs: 0 };
        },
        drain: () => assert.fail(),
    }).callback();
    const listener = (await HttpListener.open("127.0.0.1:0", (request, response) => {
        void app(request, response);
    }))._unsafeUnwrap();
    context.after(() => listener.close());
    const written: string[] = [];
    const errors: string[] = [];
    const output = {
        write: (text: string) => written.push(text),
        writeError: (text: string) => errors.push(text),
    };
    const send = (target: string) =>
        runAdmin(
            [`--admin-address=127.0.0.1:${listener.getPort()}`],
            client => client.fetchPreview({ method: "GET", host: "Shop", target, credential: "secret-key" }),
            output,
        );
    assert.equal(await send("/orders?page=2"), ExitCode.Ok);
    assert.deepEqual(queries, [{
        method: "GET",
        host: "shop",
        target: "/orders?page=2",
        credential: "secret-key",
    }]);
    assert.equal(await send("orders"), ExitCode.Failed);
    assert.match(errors.join(""), /not a valid preview: target/);
    assert.ok(![...written, ...errors].join("").includes("secret-key"));
});
