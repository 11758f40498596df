import { SeededRandom } from "../../proof/fakes/seeded_random.ts";
import { VirtualTime } from "../../proof/fakes/virtual_time.ts";
import type { AuditEntry } from "../../src/audit/audit_entry.ts";
import { Code } from "../../src/core/code.ts";
import { createFailure } from "../../src/core/create_failure.ts";
import type { Upstream } from "../../src/core/upstream.ts";
import type { OwnerReply } from "../../src/forward/owner_reply.ts";
import { isExpected } from "../../src/health/is_expected.ts";
import type { RoutedRequest } from "../../src/route/routed_request.ts";
import { PowerOfTwoSelector } from "../../src/select/power_of_two_selector.ts";
import type { SelectedRequest } from "../../src/select/selected_request.ts";
import { buildService } from "./build_service.ts";
import type { Deployment } from "./deployment.ts";
import { FakeDaemon } from "./fake_daemon.ts";
import { FakeOwner } from "./fake_owner.ts";
import { FakeUpstream } from "./fake_upstream.ts";
import { FaultKind } from "./fault_kind.ts";
import type { RunResult } from "./run_result.ts";
import type { Scenario } from "./scenario.ts";

/** Share of the short requests that are writes. */
const writeShare = 0.3;

/** Interval in milliseconds of the head exchange between daemons, and its number of peers. */
const exchangeMs = 1_000;
const exchangePeers = 3;

/** A faulty upstream counts as out when no ordinary request was sent to it for this time in milliseconds. */
const quietMs = 1_000;

/** Runs one scenario in virtual time. */
export async function runScenario(
    deployment: Deployment,
    scenario: Scenario,
    seed: number,
): Promise<RunResult> {
    const time = new VirtualTime();
    const random = new SeededRandom(seed);
    const service = buildService(deployment);
    const members: Upstream[] = Array.from({ length: deployment.upstreams }, (_, index) => ({
        id: `upstream ${index}`,
        service: service.name,
        failureDomain: `domain ${index % 3}`,
        region: "region",
        ownerId: `daemon ${index}`,
        ownerAddress: "",
        leaving: false,
    }));
    const configuration = { team: "", services: new Map([[service.name, service]]) };
    const config = { getActive: () => ({ version: 1, digest: "", configuration, source: "" }) };
    const membership = { list: () => members, getFirstSeenMs: () => -60_000, getVersion: () => 1 };
    const cutPath = scenario.fault === FaultKind.PathCut;
    const faulty = new Set(members.slice(0, scenario.faulty).map(({ id }) => id));
    // The sender whose path is cut is in the failure domain of the upstream and owns another one or none.
    const cutDaemon = `daemon ${deployment.daemons - 3}`;

    // A cut path and a fault of all upstreams are no faults of single upstreams, so no ejection is right.
    const isOwnFault = !cutPath && faulty.size < members.length;

    let wrongful = 0;
    let returns = 0;
    let firstEjectionMs: number | undefined;
    let lowestRotation = members.length;
    const recordAudit = (entry: AuditEntry): void => {
        const afterMs = time.getMonotonicMs() - scenario.eventMs;
        if (entry.change === "return") {
            returns += 1;
        }
        else if (
            entry.before === "in rotation" && (!isOwnFault || afterMs < 0 || !faulty.has(entry.subject))
        ) {
            wrongful += 1;
        }
        else {
            firstEjectionMs ??= afterMs;
        }
    };
    const daemons = Array.from({ length: deployment.daemons }, (_, index) =>
        new FakeDaemon({
            id: `daemon ${index}`,
            time,
            random,
            membership,
            config,
            failureDomain: `domain ${index % 3}`,
            baseline: scenario.baseline,
            recordAudit,
        }));
    const upstreams = members.map(() => new FakeUpstream(random, time, deployment.slots));
    const owners = new Map(members.map(({ id }, index) => {
        const { evidence, watch, board } = daemons[index]!;
        const options = {
            time,
            upstream: upstreams[index]!,
            slots: deployment.slots,
            evidence,
            watch,
            board,
        };
        return [id, new FakeOwner(options)];
    }));

    const ordinarySentMs: number[] = [];
    let answered = 0;
    let good = 0;
    let sent = 0;

    const recordEnd = (
        daemon: FakeDaemon,
        selected: SelectedRequest,
        reply: OwnerReply,
        sentMs: number,
    ): void => {
        daemon.selector.recordReply(selected, reply, time.getMonotonicMs() - sentMs);
        if (sentMs >= scenario.eventMs) {
            answered += 1;
            const isGood = reply.answer !== undefined && isExpected(reply.answer, selected.route.expect);
            good += isGood ? 1 : 0;
        }
    };

    const forward = (daemon: FakeDaemon, selected: SelectedRequest): void => {
        const sentMs = time.getMonotonicMs();
        const { upstream } = selected;
        daemon.selector.recordStart(selected);
        const isLocal = upstream.ownerId === daemon.id;
        const delayMs = isLocal
            ? 0
            : upstream.failureDomain === daemon.failureDomain
            ? 0.1
            : deployment.pathMs;
        const isCut = cutPath && sentMs >= scenario.eventMs && daemon.id === cutDaemon &&
            faulty.has(upstream.id);
        const request = {
            ...selected,
            upstreamId: upstream.id,
            receivedAtMs: sentMs + delayMs,
            signal: new AbortController().signal,
        };
        let isEnded = false;
        const handleEnd = (reply: OwnerReply): void => {
            if (!isEnded) {
                isEnded = true;
                recordEnd(daemon, selected, reply, sentMs);
            }
        };
        // Replies are lost on a cut path, requests arrive.
        time.start(delayMs, () =>
            owners.get(upstream.id)!.handle(request, reply => {
                if (!isCut) {
                    time.start(delayMs, () => handleEnd(reply));
                }
            }));
        time.start(selected.deadlineMs - sentMs + 1, () =>
            handleEnd({
                ...createFailure(Code.PeerTimeout),
                requestId: selected.requestId,
                attempt: 1,
                ownerId: upstream.ownerId,
                incarnation: "",
                answer: undefined,
                serviceMs: 0,
                waitMs: 0,
                upstream: undefined,
            }));
    };

    const sendRequest = (): void => {
        const nowMs = time.getMonotonicMs();
        // A single sender must send ten requests a second to each upstream to show how it leaves a cut path.
        const senders = cutPath ? daemons.filter(({ id }) => id === cutDaemon) : daemons;
        const daemon = senders[Math.floor(random.take() * senders.length)]!;
        const isLong = random.take() * 100 < deployment.longPercent;
        const isWrite = random.take() < writeShare;
        const route = service.routes[isLong ? 2 : isWrite ? 1 : 0]!;
        sent += 1;
        const request: RoutedRequest = {
            requestId: `${sent}`,
            method: route.method,
            path: route.path,
            target: route.path,
            headers: [],
            body: new Uint8Array(),
            organisation: "organisation",
            idempotencyKey: undefined,
            budgetMs: undefined,
            receivedAtMs: nowMs,
            signal: new AbortController().signal,
            service,
            route,
            deadlineMs: nowMs + route.deadlineMs,
            configVersion: 1,
        };
        const selected = daemon.selector.select(request, 1, new Set());
        if (selected.isErr()) {
            answered += 1;
            return;
        }
        const { upstream, trial } = selected.value;
        const isWatched = !cutPath || daemon.id === cutDaemon;
        if (nowMs >= scenario.eventMs && isWatched && !trial && faulty.has(upstream.id)) {
            ordinarySentMs.push(nowMs - scenario.eventMs);
        }
        forward(daemon, selected.value);
    };

    const startNextRequest = (): void => {
        const rate = time.getMonotonicMs() < scenario.eventMs ? scenario.rate : scenario.eventRate;
        const gapMs = -Math.log(1 - random.take()) * 1_000 / (rate * members.length);
        time.start(gapMs, () => {
            sendRequest();
            startNextRequest();
        });
    };

    const sendReports = (daemon: FakeDaemon): void => {
        for (let peer = 0; peer < exchangePeers; peer += 1) {
            const other = daemons[Math.floor(random.take() * daemons.length)]!;
            const reports = daemon.board.listReports(time.getMonotonicMs());
            time.start(deployment.pathMs, () => {
                other.board.merge(reports, time.getMonotonicMs());
                const answers = other.board.listReports(time.getMonotonicMs());
                time.start(deployment.pathMs, () => daemon.board.merge(answers, time.getMonotonicMs()));
            });
        }
        time.start(exchangeMs, () => sendReports(daemon));
    };

    const sendOtherReply = (daemon: FakeDaemon): void => {
        const reports = daemons[Math.floor(random.take() * daemons.length)]!.board.listReports(
            time.getMonotonicMs(),
        );
        if (reports.length > 0) {
            time.start(deployment.pathMs, () => daemon.board.merge(reports, time.getMonotonicMs()));
        }
        time.start(
            -Math.log(1 - random.take()) * 1_000 / deployment.otherReplies,
            () => sendOtherReply(daemon),
        );
    };

    const checkRotations = (): void => {
        for (const { selector } of daemons) {
            if (selector instanceof PowerOfTwoSelector) {
                const size = selector.listStatus(service).filter(({ ejected }) => !ejected).length;
                lowestRotation = Math.min(lowestRotation, size);
            }
        }
        time.start(1_000, checkRotations);
    };

    startNextRequest();
    if (!scenario.baseline) {
        daemons.forEach(daemon => time.start(random.take() * exchangeMs, () => sendReports(daemon)));
        daemons.forEach(daemon => time.start(random.take() * exchangeMs, () => sendOtherReply(daemon)));
        checkRotations();
    }
    time.start(scenario.eventMs, () => {
        upstreams.forEach((upstream, index) => {
            upstream.dependencyFactor = scenario.dependencyFactor;
            if (!cutPath && faulty.has(members[index]!.id)) {
                upstream.fault = scenario.fault;
                upstream.faultSinceMs = scenario.eventMs;
            }
        });
    });
    await time.run(scenario.endMs);
    const goodShare = good / Math.max(1, answered);
    const outMs = scenario.faulty === 0
        ? undefined
        : findQuiet(ordinarySentMs, scenario.endMs - scenario.eventMs);
    return {
        outMs,
        firstEjectionMs,
        wrongful,
        lowestRotation,
        faultyRequests: ordinarySentMs.length,
        returns,
        goodShare,
    };
}

/** First time from which on nothing was sent for the quiet time; undefined when there is none before the end. */
function findQuiet(sentMs: readonly number[], endMs: number): number | undefined {
    let lastMs = 0;
    for (const atMs of [...sentMs, endMs]) {
        if (atMs - lastMs >= quietMs) {
            return lastMs;
        }
        lastMs = atMs;
    }
    return undefined;
}
