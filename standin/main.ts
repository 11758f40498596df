/**
 * Runs one stand-in: `platform ADDRESS` or `upstream ID SERVICE ADDRESS SLOTS [BEHAVIOUR]`, where
 * BEHAVIOUR is JSON with fields of `UpstreamBehaviour`. Prints `ready` when the port is open.
 *
 * @module
 */
import { createServer } from "node:http";
import { createPlatformApp } from "./create_platform_app.ts";
import { PlatformState } from "./platform_state.ts";
import type { UpstreamBehaviour } from "./upstream_behaviour.ts";
import { UpstreamServer } from "./upstream_server.ts";

const defaultBehaviour: UpstreamBehaviour = {
    serviceMs: 5,
    longServiceMs: 200,
    faultShare: 1,
    fault: "none",
    slowFactor: 5,
    flapMs: 0,
    coldStartMs: 0,
    draining: false,
};

function createApp(role: string | undefined, roleArgs: readonly string[]) {
    if (role === "platform") {
        return { app: createPlatformApp(new PlatformState()), address: roleArgs[0] };
    }
    const [id = "", service = "", address, slots, behaviour = "{}"] = roleArgs;
    const behaviourChanges = JSON.parse(behaviour) as Partial<UpstreamBehaviour>;
    const server = new UpstreamServer({
        id,
        service,
        slots: Number(slots),
        behaviour: { ...defaultBehaviour, ...behaviourChanges },
    });
    return { app: server.createApp(), address };
}

const [role, ...args] = process.argv.slice(2);
const { app, address = "" } = createApp(role, args);
const [host, port] = address.split(":");
const handle = app.callback();
const server = createServer((request, response) => void handle(request, response));
server.listen(Number(port), host, () => process.stdout.write("ready\n"));
process.once("SIGTERM", () => process.exit(0));
