/**
 * HTTP interface of the stand-in platform: daemons read `/v1`; tests and the demo use `/control`.
 *
 * @module
 */
import Koa from "koa";
import getRawBody from "raw-body";
import { PlatformMode } from "./platform_mode.ts";
import type { PlatformState } from "./platform_state.ts";

const MAX_VALUE_BYTES = 1_048_576;

/** Creates the Koa application that serves and changes `state`. */
export function createPlatformApp(state: PlatformState): Koa {
    const app = new Koa();
    app.use(async (context, next) => {
        if (context.path.startsWith("/control/")) {
            await next();
            return;
        }
        if (state.getMode() === PlatformMode.Absent) {
            context.req.socket.destroy();
            return;
        }
        if (state.getDelayMs() > 0) {
            await new Promise(resolve => setTimeout(resolve, state.getDelayMs()));
        }
        await handleRead(context, state);
    });
    app.use(context => handleControl(context, state));
    app.on("error", () => undefined);
    return app;
}

async function handleRead(context: Koa.Context, state: PlatformState): Promise<void> {
    const name = context.path === "/v1/instances"
        ? "instances"
        : /^\/v1\/values\/([^/]+)$/.exec(context.path)?.[1];
    if (name === undefined) {
        context.status = 404;
        return;
    }
    const query = context.query as Record<string, string | undefined>;
    const value = await state.read(
        decodeURIComponent(name),
        Number(query["after"] ?? 0),
        Number(query["waitMs"] ?? 0),
    );
    if (state.getMode() === PlatformMode.Absent) {
        context.req.socket.destroy();
        return;
    }
    if (value === undefined) {
        context.status = 304;
        return;
    }
    context.body = name === "instances"
        ? { version: value.version, upstreams: JSON.parse(value.content) as unknown }
        : { name, ...value };
}

async function handleControl(context: Koa.Context, state: PlatformState): Promise<void> {
    const query = context.query as Record<string, string | undefined>;
    const name = /^\/control\/values\/([^/]+)$/.exec(context.path)?.[1];
    if (context.method === "PUT" && name !== undefined) {
        const content = await getRawBody(context.req, { limit: MAX_VALUE_BYTES, encoding: "utf8" });
        const version = query["version"] === undefined ? undefined : Number(query["version"]);
        context.body = { version: state.setValue(decodeURIComponent(name), content, version) };
    }
    else if (context.method === "PUT" && context.path === "/control/mode") {
        state.setMode((query["mode"] ?? PlatformMode.Normal) as PlatformMode, Number(query["delayMs"] ?? 0));
        context.body = { mode: state.getMode() };
    }
    else if (context.path === "/control/reads") {
        context.body = { reads: state.getReadCount() };
    }
    else {
        context.status = 404;
    }
}
