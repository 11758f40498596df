/**
 * Demo: three daemons with their upstreams on loopback. With `--hold` the fleet keeps running until Ctrl-C.
 *
 * @module
 */
import { execFileSync } from "node:child_process";
import { readFileSync } from "node:fs";
import { Fleet } from "../standin/fleet.ts";
import type { FleetDaemon } from "../standin/fleet_daemon.ts";

interface DemoRequest {
    readonly title: string;
    readonly daemon: number;
    readonly method: string;
    readonly path: string;
    readonly key?: string;
    readonly body?: string;
}

async function sendRequest(fleet: Fleet, request: DemoRequest): Promise<string> {
    const { body, daemon, key, method, path, title } = request;
    const headers: Record<string, string> = { "x-organisation-id": "demo", "connect-timeout-ms": "2000" };
    if (key !== undefined) {
        headers["idempotency-key"] = key;
    }
    const response = await fetch(`${fleet.daemons[daemon]!.callerUrl}${path}`, {
        method,
        headers,
        ...(body === undefined ? {} : { body }),
    });
    const text = await response.text();
    const outcome = response.headers.get("zinniaglade-outcome") ?? "";
    process.stdout.write(
        `\n${title}\n  ${method} ${path} at daemon-${
            daemon + 1
        }\n  ${response.status} ${outcome}\n  ${text}\n`,
    );
    return text;
}

function reportStatus(daemon: FleetDaemon): void {
    const text = execFileSync("dist/zinniaglade", ["show", `--admin-address=${daemon.adminAddress}`], {
        encoding: "utf8",
    });
    process.stdout.write(`\nzinniaglade show, ${daemon.id}\n${text}`);
}

async function waitForInterrupt(): Promise<void> {
    await new Promise<void>(resolve => void process.once("SIGINT", () => resolve()));
}

const fleet = await Fleet.start({
    configuration: readFileSync("demo/authority.yaml", "utf8"),
    services: ["accounts", "payments", "supply"],
    daemons: 3,
    slots: 3,
    failureDomains: ["zone-a", "zone-b", "zone-c"],
    flags: ["--drain-grace-ms=500"],
});
try {
    for (const daemon of [0, 1, 2]) {
        await sendRequest(fleet, {
            title: "A read, at any daemon",
            daemon,
            method: "GET",
            path: "/accounts/7/balance",
        });
    }
    const body = JSON.stringify({ account: 7, amount: "42.00" });
    await sendRequest(fleet, {
        title: "A payment without a key",
        daemon: 0,
        method: "POST",
        path: "/payments",
        body,
    });
    const keyRequest = {
        title: "A new idempotency key",
        daemon: 1,
        method: "POST",
        path: "/.zinniaglade/keys?service=payments",
    };
    const { key } = JSON.parse(await sendRequest(fleet, keyRequest)) as { key: string; };
    const payment = { method: "POST", path: "/payments", key, body };
    await sendRequest(fleet, { title: "A payment with the key", daemon: 2, ...payment });
    await sendRequest(fleet, { title: "The same payment again, at another daemon", daemon: 0, ...payment });
    await sendRequest(fleet, { title: "A path without a route", daemon: 0, method: "GET", path: "/nowhere" });
    const executed = (await fleet.fetchHistory()).filter(record =>
        record.key === key && record.phase === "executed"
    );
    process.stdout.write(`\nExecutions of the payment with the key: ${executed.length}\n`);
    fleet.daemons.forEach(reportStatus);
    const [{ adminAddress }] = fleet.daemons as [FleetDaemon];
    const drained = execFileSync("dist/zinniaglade", ["drain", `--admin-address=${adminAddress}`], {
        encoding: "utf8",
    });
    process.stdout.write(`\nzinniaglade drain, daemon-1\n${drained}`);
    await sendRequest(fleet, {
        title: "A read after the drain",
        daemon: 1,
        method: "GET",
        path: "/accounts/7/balance",
    });
    process.stdout.write(`\nAudit trail of daemon-2\n${fleet.daemons[1]!.process.stdoutLines.join("\n")}\n`);
    if (process.argv.includes("--hold")) {
        process.stdout.write("\nThe fleet keeps running until Ctrl-C.\n");
        await waitForInterrupt();
    }
}
finally {
    await fleet.close();
}
