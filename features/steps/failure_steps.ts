import { Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { readFileSync } from "node:fs";
import { checkHistory } from "../../proof/check_history.ts";
import { EventKind } from "../../proof/event_kind.ts";
import type { HistoryEvent } from "../../proof/history_event.ts";
import { AtMostOncePredicate } from "../../proof/predicates/at_most_once_predicate.ts";
import { OwnAnswerPredicate } from "../../proof/predicates/own_answer_predicate.ts";
import { TruthfulOutcomePredicate } from "../../proof/predicates/truthful_outcome_predicate.ts";
import { LinkMode } from "../../standin/link_mode.ts";
import { waitUntil } from "../../standin/wait_until.ts";
import { fleetWorld } from "../support/fleet_world.ts";
import { PaymentLoad } from "../support/payment_load.ts";
import { ReadLoad } from "../support/read_load.ts";

const CALLERS = 6;
const BEFORE_FAULT_MS = 800;
const AFTER_FAULT_MS = 1_500;
const FAULT_MS = 2_000;

interface RotationStatus {
    readonly daemonId: string;
    readonly configuration: { readonly version: number; };
    readonly services: readonly {
        readonly name: string;
        readonly upstreams: readonly {
            readonly id: string;
            readonly ejected: boolean;
            readonly health?: { readonly score?: number; };
        }[];
    }[];
}

let history: readonly HistoryEvent[] = [];

function waitMs(durationMs: number): Promise<void> {
    return new Promise(resolve => setTimeout(resolve, durationMs));
}

/** Sets the link mode of the second daemon for the duration of the fault. */
async function setLinkDuringFault(mode: LinkMode): Promise<void> {
    const { link } = fleetWorld.get().daemons[1]!;
    link!.setMode(mode);
    await waitMs(FAULT_MS);
    link!.setMode(LinkMode.Open);
}

/** Sends both signals to the second daemon, the latter after the duration of the fault. */
async function sendSignals(first: NodeJS.Signals, second: NodeJS.Signals): Promise<void> {
    const { process } = fleetWorld.get().daemons[1]!;
    process.sendSignal(first);
    await waitMs(FAULT_MS);
    process.sendSignal(second);
}

const faults: Readonly<Record<string, () => Promise<void>>> = {
    "an owner is killed and started again": async () => {
        const fleet = fleetWorld.get();
        await fleet.daemons[1]!.process.close();
        await waitMs(BEFORE_FAULT_MS);
        await fleet.startDaemon(1);
    },
    "an owner is stopped for 2 s and resumed": () => sendSignals("SIGSTOP", "SIGCONT"),
    "the replies of an owner are lost for 2 s": () => setLinkDuringFault(LinkMode.DropReplies),
    "the requests to an owner are lost for 2 s": () => setLinkDuringFault(LinkMode.DropRequests),
    // The process keeps running, as its history is fetched at the end; it closes each connection instead.
    "an upstream is killed": () => fleetWorld.get().setBehaviour("payments-2", { fault: "cut-before" }),
    "an upstream cuts half of its answers": () =>
        fleetWorld.get().setBehaviour("payments-2", { fault: "cut", faultShare: 0.5 }),
};

When(/^callers send payments (with|without) a key while (.*)$/, async (keyUse: string, fault: string) => {
    const load = new PaymentLoad(fleetWorld.get(), CALLERS, keyUse === "with");
    await waitMs(BEFORE_FAULT_MS);
    await faults[fault]!();
    await waitMs(AFTER_FAULT_MS);
    history = await load.close();
});

Then("the history holds for at-most-once, truthful-outcome and own-answer", () => {
    const predicates = [new AtMostOncePredicate(), new TruthfulOutcomePredicate(), new OwnAnswerPredicate()];
    assert.deepEqual(checkHistory(history, predicates), []);
});

Then("at least {int} payments were executed", (count: number) => {
    const executed = history.filter(event => event.kind === EventKind.UpstreamExecuted);
    assert.ok(executed.length >= count, `${executed.length} were executed`);
});

Given("the platform is absent", () => fleetWorld.get().setPlatformMode("absent"));

When(
    "daemon {int} is killed and started again with daemon {int} as its peer",
    async (daemonNumber: number, peerNumber: number) => {
        const fleet = fleetWorld.get();
        const daemon = fleet.daemons[daemonNumber - 1]!;
        await daemon.process.close();
        await fleet.startDaemon(daemonNumber - 1, [`--peers=${fleet.daemons[peerNumber - 1]!.peerAddress}`]);
    },
);

When("{int} operators publish configurations at the same time", async (count: number) => {
    const source = readFileSync("demo/authority.yaml", "utf8");
    const setConfiguration = (_: unknown, index: number) =>
        fleetWorld.get().setValue("head", source.replace(/^team: .*$/m, `team: operator ${index}`));
    await Promise.all(Array.from({ length: count }, setConfiguration));
});

async function fetchStatuses(): Promise<readonly RotationStatus[]> {
    return Promise.all(
        fleetWorld.get().daemons.map(async daemon => {
            const response = await fetch(`http://${daemon.adminAddress}/v1/status`);
            return await response.json() as RotationStatus;
        }),
    );
}

/** Records the health scores that each daemon has for the upstream and the others of its service. */
function recordScores(statuses: readonly RotationStatus[], upstreamId: string): void {
    const texts = statuses.map(({ daemonId, services }) => {
        const service = services.find(({ upstreams }) => upstreams.some(({ id }) => id === upstreamId));
        const scores = service?.upstreams.map(({ ejected, health, id }) =>
            `${id} ${health?.score?.toFixed(1) ?? "unknown"}${ejected ? " ejected" : ""}`
        );
        return `${daemonId}: ${scores?.join(", ") ?? "no service"}`;
    });
    fleetWorld.recordObservation(texts.join("; "));
}

Then("every daemon has the last version in force within {int} s", async (seconds: number) => {
    const response = await fetch(`${fleetWorld.get().platformUrl}/v1/values/head?after=0&waitMs=0`);
    const { version } = await response.json() as { version: number; };
    await waitUntil(
        `version ${version} in force`,
        seconds * 1_000,
        async () => (await fetchStatuses()).every(status => status.configuration.version === version),
    );
});

When("upstream {string} becomes slow while callers read", async (upstreamId: string) => {
    const fleet = fleetWorld.get();
    fleetWorld.addLoad(new ReadLoad(fleet, CALLERS));
    await waitMs(FAULT_MS);
    await fleet.setBehaviour(upstreamId, { fault: "slow", slowFactor: 40 });
});

// A factor of 8 is above the baseline and below three baselines, so such an answer counts once.
Given(
    "upstream {string} is slow in one of {int} requests",
    (upstreamId: string, requests: number) =>
        fleetWorld.get().setBehaviour(upstreamId, { fault: "slow", slowFactor: 8, faultShare: 1 / requests }),
);

Given(
    "the service accounts has a floor of {int}",
    (floor: number) =>
        fleetWorld.get().setValue(
            "head",
            readFileSync("demo/authority.yaml", "utf8").replace("floor: 4", `floor: ${floor}`),
        ),
);

Then(
    "every daemon has upstream {string} out of rotation within {int} s",
    async (upstreamId: string, seconds: number) => {
        await waitUntil(`${upstreamId} out of rotation`, seconds * 1_000, async () => {
            const statuses = await fetchStatuses();
            recordScores(statuses, upstreamId);
            return statuses.every(({ services }) =>
                services.flatMap(service => service.upstreams).find(({ id }) => id === upstreamId)
                    ?.ejected === true
            );
        });
    },
);

Then(
    "every daemon keeps upstream {string} in rotation for {int} s",
    async (upstreamId: string, seconds: number) => {
        const endMs = Date.now() + seconds * 1_000;
        while (Date.now() < endMs) {
            for (const { services } of await fetchStatuses()) {
                const upstream = services.flatMap(service => service.upstreams).find(({ id }) =>
                    id === upstreamId
                );
                assert.equal(upstream?.ejected, false);
            }
            await waitMs(100);
        }
    },
);
