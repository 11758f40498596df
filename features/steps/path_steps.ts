import { After, Given, setDefaultTimeout, Status, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { execFile } from "node:child_process";
import { readFileSync } from "node:fs";
import { promisify } from "node:util";
import { Code } from "../../src/core/code.ts";
import { Outcome } from "../../src/core/outcome.ts";
import type { Fleet } from "../../standin/fleet.ts";
import type { FleetDaemon } from "../../standin/fleet_daemon.ts";
import { waitUntil } from "../../standin/wait_until.ts";
import { fleetWorld } from "../support/fleet_world.ts";

interface CallerAnswer {
    readonly path: string;
    readonly status: number;
    readonly outcome: string | undefined;
    readonly body: {
        readonly path?: string;
        readonly code?: number;
        readonly outcome?: string;
        readonly key?: string;
    };
}

interface DaemonStatus {
    readonly configuration: { readonly version: number; readonly team: string; };
    readonly rejected?: { readonly version: number; };
}

setDefaultTimeout(60_000);
const configuration = readFileSync("demo/authority.yaml", "utf8");
const payment = JSON.stringify({ account: 7, amount: "42.00" });
let answers: CallerAnswer[] = [];
let failures: string[] = [];
let drainOutput = "";

function getFleet(): Fleet {
    return fleetWorld.get();
}

async function sendRequest(daemon: FleetDaemon, path: string, init: RequestInit = {}): Promise<CallerAnswer> {
    const response = await fetch(`${daemon.callerUrl}${path}`, init);
    const body = await response.json() as CallerAnswer["body"];
    const answer = {
        path,
        status: response.status,
        outcome: response.headers.get("zinniaglade-outcome") ?? undefined,
        body,
    };
    answers.push(answer);
    return answer;
}

async function fetchStatus(daemon: FleetDaemon): Promise<DaemonStatus> {
    const response = await fetch(`http://${daemon.adminAddress}/v1/status`);
    return await response.json() as DaemonStatus;
}

async function waitForAll(
    condition: string,
    timeoutMs: number,
    check: (status: DaemonStatus) => boolean,
): Promise<void> {
    await waitUntil(
        condition,
        timeoutMs,
        async () => (await Promise.all(getFleet().daemons.map(fetchStatus))).every(check),
    );
}

Given("a fleet of {int} daemons for the Authority", async (daemons: number) => {
    answers = [];
    failures = [];
    await fleetWorld.start({
        configuration,
        services: ["accounts", "payments", "supply"],
        daemons,
        slots: 3,
        failureDomains: ["zone-a", "zone-b", "zone-c"],
        hasLinks: true,
        flags: ["--drain-grace-ms=1000", "--gossip-interval-ms=200"],
    });
});

After(async function ({ pickle, result }) {
    try {
        if (result?.status === Status.FAILED) {
            const file = await fleetWorld.writeLogs(pickle.name);
            // The progress report prints only attachments of this type.
            this.attach(`logs of all processes: ${file ?? "no process was started"}`, "text/plain");
        }
    }
    finally {
        await fleetWorld.close();
    }
});

When("a caller sends {int} reads spread over all daemons", async (count: number) => {
    const { daemons } = getFleet();
    // As many callers as the upstreams have slots, so that no read is rejected because of load.
    const callers = Array.from({ length: 9 }, async (_, caller) => {
        for (let index = caller; index < count; index += 9) {
            await sendRequest(daemons[index % daemons.length]!, `/accounts/${index}/balance`);
        }
    });
    await Promise.all(callers);
});

Then("each answer names the path of its own request", () => {
    assert.ok(answers.length > 0);
    for (const answer of answers) {
        assert.equal(answer.status, 200);
        assert.equal(answer.body.path, answer.path);
    }
});

When("a caller sends a payment with one key to each daemon in turn", async () => {
    const { daemons } = getFleet();
    const issued = await sendRequest(daemons[0]!, "/.zinniaglade/keys?service=payments", { method: "POST" });
    assert.equal(issued.status, 201);
    answers = [];
    for (const daemon of daemons) {
        await sendRequest(daemon, "/payments", {
            method: "POST",
            body: payment,
            headers: { "idempotency-key": issued.body.key! },
        });
    }
});

When("a caller sends a payment with the key {string}", async (key: string) => {
    const init = { method: "POST", body: payment, headers: { "idempotency-key": key } };
    await sendRequest(getFleet().daemons[0]!, "/payments", init);
});

Then("every answer says {string}", (outcome: string) => {
    assert.deepEqual(answers.map(answer => answer.outcome), answers.map(() => outcome));
});

Then("the upstreams executed the payment {int} time(s)", async (count: number) => {
    const history = await getFleet().fetchHistory();
    assert.equal(
        history.filter(record => record.phase === "executed" && record.body === payment).length,
        count,
    );
});

Then("the problem has code {int} and outcome {string}", (code: number, outcome: string) => {
    assert.equal(answers.at(-1)?.body.code, code);
    assert.equal(answers.at(-1)?.body.outcome, outcome);
});

When(
    "the operators publish a configuration with the team {string}",
    (team: string) => getFleet().setValue("head", configuration.replace(/^team: .*$/m, `team: ${team}`)),
);

When(
    "the operators publish a configuration with the floor of a service above its members",
    () => getFleet().setValue("head", configuration.replace("floor: 8", "floor: 13")),
);

When("the platform then offers version 1 again", async () => {
    await waitForAll("version 2 in force", 16_000, status => status.configuration.version === 2);
    await getFleet().setValue("head", configuration, 1);
});

Then(
    "every daemon has the team {string} in force within {int} s",
    (team: string, seconds: number) =>
        waitForAll(`team ${team} in force`, seconds * 1_000, status => status.configuration.team === team),
);

Then(
    "every daemon has the team {string} in force for the next {int} s",
    async (team: string, seconds: number) => {
        const endMs = Date.now() + seconds * 1_000;
        while (Date.now() < endMs) {
            for (const daemon of getFleet().daemons) {
                assert.equal((await fetchStatus(daemon)).configuration.team, team);
            }
            await new Promise(resolve => setTimeout(resolve, 100));
        }
    },
);

Then(
    "every daemon reports that it rejected version {int} within {int} s",
    (version: number, seconds: number) =>
        waitForAll(
            `version ${version} rejected`,
            seconds * 1_000,
            status => status.rejected?.version === version,
        ),
);

Then(
    "every daemon still has version {int} in force",
    (version: number) =>
        waitForAll(`version ${version} in force`, 1_000, status => status.configuration.version === version),
);

When("callers keep sending reads while an operator drains daemon {int}", async (daemonNumber: number) => {
    const { daemons } = getFleet();
    let draining = true;
    const runCaller = async (index: number) => {
        while (draining) {
            try {
                const daemon = daemons[index % daemons.length]!;
                const answer = await sendRequest(daemon, `/accounts/${index}/balance`);
                // The daemon is leaving and has not executed the request; the caller stops using it.
                if (answer.body.code === Code.OwnerLeaving && answer.outcome === Outcome.NotExecuted) {
                    return;
                }
                assert.equal(answer.status, 200, JSON.stringify(answer.body));
            }
            catch (error) {
                const { cause } = error as { cause?: { code?: string; }; };
                failures.push(`${(error as Error).message} ${cause?.code ?? ""}`);
            }
        }
    };
    const callers = Array.from({ length: 9 }, (_, index) => runCaller(index));
    await new Promise(resolve => setTimeout(resolve, 500));
    const adminAddress = daemons[daemonNumber - 1]!.adminAddress;
    const { stdout } = await promisify(execFile)("dist/zinniaglade", [
        "drain",
        `--admin-address=${adminAddress}`,
    ]);
    drainOutput = stdout;
    await new Promise(resolve => setTimeout(resolve, 500));
    draining = false;
    await Promise.all(callers);
});

Then("no request of the callers was cut", () => {
    assert.ok(answers.length > 100);
    assert.deepEqual(failures, []);
});

Then("the drain reports success", () => {
    assert.ok((JSON.parse(drainOutput) as { durationMs: number; }).durationMs >= 0);
});
