import { SeededRandom } from "../../proof/fakes/seeded_random.ts";
import { VirtualTime } from "../../proof/fakes/virtual_time.ts";
import type { ServiceConfig } from "../../src/config/service_config.ts";
import type { Upstream } from "../../src/core/upstream.ts";
import type { OwnerReply } from "../../src/forward/owner_reply.ts";
import { isExpected } from "../../src/health/is_expected.ts";
import { PowerOfTwoSelector } from "../../src/select/power_of_two_selector.ts";
import type { SelectedRequest } from "../../src/select/selected_request.ts";
import { buildRequest } from "./build_request.ts";
import { buildService } from "./build_service.ts";
import { buildTimeoutReply } from "./build_timeout_reply.ts";
import type { Deployment } from "./deployment.ts";
import { FakeDaemon } from "./fake_daemon.ts";
import { FakeOwner } from "./fake_owner.ts";
import { FakeUpstream } from "./fake_upstream.ts";
import { FaultKind } from "./fault_kind.ts";
import { RunRecorder } from "./run_recorder.ts";
import type { RunResult } from "./run_result.ts";
import type { Scenario } from "./scenario.ts";

/** Share of the short requests that are writes. */
const writeShare = 0.3;

/** Interval in milliseconds of the head exchange between daemons, and its number of peers. */
const exchangeMs = 1_000;
const exchangePeers = 3;

/** Interval in milliseconds at which the number of upstreams in rotation is recorded. */
const rotationCheckMs = 1_000;

/** Runs one scenario on one deployment in virtual time, with fakes at the interfaces. */
export class ScenarioRun {
    private readonly time = new VirtualTime();
    private readonly random: SeededRandom;
    private readonly service: ServiceConfig;
    private readonly members: readonly Upstream[];
    private readonly faulty: ReadonlySet<string>;
    private readonly isPathCut: boolean;
    private readonly daemons: readonly FakeDaemon[];
    /** Daemons to which the callers send. */
    private readonly entryDaemons: readonly FakeDaemon[];
    private readonly upstreams: readonly FakeUpstream[];
    private readonly owners: ReadonlyMap<string, FakeOwner>;
    private readonly recorder: RunRecorder;
    private sentCount = 0;

    constructor(private readonly deployment: Deployment, private readonly scenario: Scenario, seed: number) {
        const { time } = this;
        const { slots, serviceTimeSigma } = deployment;
        const random = new SeededRandom(seed);
        const service = buildService(deployment);
        const members = Array.from({ length: deployment.upstreams }, (_, index) => ({
            id: `upstream ${index}`,
            service: service.name,
            failureDomain: `domain ${index % 3}`,
            region: "region",
            ownerId: `daemon ${index}`,
            ownerAddress: "",
            leaving: false,
        }));
        this.random = random;
        this.service = service;
        this.members = members;
        this.isPathCut = scenario.fault === FaultKind.PathCut;
        this.faulty = new Set(members.slice(0, scenario.faultyCount).map(({ id }) => id));
        // Neither a cut path nor a fault of all upstreams is a fault of single upstreams.
        const isUpstreamFault = !this.isPathCut && this.faulty.size < members.length;
        this.recorder = new RunRecorder(scenario, this.faulty, isUpstreamFault);

        const configuration = { team: "", services: new Map([[service.name, service]]) };
        const config = { getActive: () => ({ version: 1, digest: "", configuration, source: "" }) };
        const membership = { list: () => members, getFirstSeenMs: () => -60_000, getVersion: () => 1 };
        this.daemons = Array.from({ length: deployment.daemons }, (_, index) =>
            new FakeDaemon({
                id: `daemon ${index}`,
                time,
                random,
                membership,
                config,
                failureDomain: `domain ${index % 3}`,
                baseline: scenario.baseline,
                recordAudit: entry => this.recorder.recordAudit(entry, this.getAfterMs()),
            }));
        // With a cut path one entry daemon sends all requests, ten per second to each upstream, to show when it
        // stops using the path. It is in the failure domain of the faulty upstream and owns no upstream.
        this.entryDaemons = this.isPathCut ? this.daemons.slice(-3, -2) : this.daemons;
        const upstreams = members.map(() => new FakeUpstream(random, time, slots, serviceTimeSigma));
        this.upstreams = upstreams;
        this.owners = new Map(members.map(({ id }, index) => {
            const { evidence, monitor, scoreTable } = this.daemons[index]!;
            return [
                id,
                new FakeOwner({ time, upstream: upstreams[index]!, slots, evidence, monitor, scoreTable }),
            ];
        }));
    }

    async run(): Promise<RunResult> {
        const { time, random, scenario } = this;
        this.startNextRequest();
        if (!scenario.baseline) {
            this.daemons.forEach(daemon =>
                time.start(random.getFloat() * exchangeMs, () => this.sendReports(daemon))
            );
            this.daemons.forEach(daemon =>
                time.start(random.getFloat() * exchangeMs, () => this.sendOtherReply(daemon))
            );
            this.recordRotationSizes();
        }
        time.start(scenario.eventMs, () => this.startFault());
        await time.run(scenario.endMs);
        return this.recorder.build();
    }

    private getAfterMs(): number {
        return this.time.getMonotonicMs() - this.scenario.eventMs;
    }

    private startFault(): void {
        this.upstreams.forEach((upstream, index) => {
            upstream.dependencyFactor = this.scenario.dependencyFactor;
            if (!this.isPathCut && this.faulty.has(this.members[index]!.id)) {
                upstream.fault = this.scenario.fault;
                upstream.faultSinceMs = this.scenario.eventMs;
            }
        });
    }

    private startNextRequest(): void {
        const rate = this.getAfterMs() < 0 ? this.scenario.rate : this.scenario.eventRate;
        const intervalMs = this.getRandomIntervalMs(rate * this.members.length);
        this.time.start(intervalMs, () => {
            this.sendRequest();
            this.startNextRequest();
        });
    }

    private sendRequest(): void {
        const { random, service, deployment } = this;
        const nowMs = this.time.getMonotonicMs();
        const daemon = this.selectRandomDaemon(this.entryDaemons);
        const isLong = random.getFloat() * 100 < deployment.longPercent;
        const isWrite = random.getFloat() < writeShare;
        const route = service.routes[isLong ? 2 : isWrite ? 1 : 0]!;
        this.sentCount += 1;
        const request = buildRequest(service, route, { requestId: `${this.sentCount}`, nowMs });
        const selected = daemon.selector.select(request, 1, new Set());
        if (selected.isErr()) {
            this.recorder.recordAnswer(false);
            return;
        }
        const { upstream, trial } = selected.value;
        if (!trial && this.faulty.has(upstream.id)) {
            this.recorder.recordFaultyRequest(this.getAfterMs());
        }
        this.forward(daemon, selected.value);
    }

    private forward(daemon: FakeDaemon, selected: SelectedRequest): void {
        const { time, deployment } = this;
        const { upstream } = selected;
        const sentMs = time.getMonotonicMs();
        daemon.selector.recordStart(selected);
        const isLocal = upstream.ownerId === daemon.id;
        const isSameDomain = upstream.failureDomain === daemon.failureDomain;
        const delayMs = isLocal ? 0 : isSameDomain ? 0.1 : deployment.latencyMs;
        const isCut = this.isPathCut && this.getAfterMs() >= 0 && this.faulty.has(upstream.id);
        const { signal } = new AbortController();
        const request = { ...selected, upstreamId: upstream.id, receivedAtMs: sentMs + delayMs, signal };
        let isEnded = false;
        const handleEnd = (reply: OwnerReply): void => {
            if (!isEnded) {
                isEnded = true;
                this.recordEnd(daemon, selected, reply, sentMs);
            }
        };
        // On a cut path requests arrive but replies are lost.
        time.start(delayMs, () =>
            this.owners.get(upstream.id)!.handle(request, reply => {
                if (!isCut) {
                    time.start(delayMs, () => handleEnd(reply));
                }
            }));
        time.start(selected.deadlineMs - sentMs + 1, () => handleEnd(buildTimeoutReply(selected)));
    }

    private recordEnd(
        daemon: FakeDaemon,
        selected: SelectedRequest,
        reply: OwnerReply,
        sentMs: number,
    ): void {
        daemon.selector.recordReply(selected, reply, this.time.getMonotonicMs() - sentMs);
        if (sentMs >= this.scenario.eventMs) {
            this.recorder.recordAnswer(
                reply.answer !== undefined && isExpected(reply.answer, selected.route.expect),
            );
        }
    }

    /** Exchanges health reports with a few peers, as the head exchange does. */
    private sendReports(daemon: FakeDaemon): void {
        const { time, deployment } = this;
        for (let peer = 0; peer < exchangePeers; peer += 1) {
            const other = this.selectRandomDaemon(this.daemons);
            const reports = daemon.scoreTable.listReports(time.getMonotonicMs());
            time.start(deployment.latencyMs, () => {
                other.scoreTable.merge(reports, time.getMonotonicMs());
                const replyReports = other.scoreTable.listReports(time.getMonotonicMs());
                time.start(
                    deployment.latencyMs,
                    () => daemon.scoreTable.merge(replyReports, time.getMonotonicMs()),
                );
            });
        }
        time.start(exchangeMs, () => this.sendReports(daemon));
    }

    /** Receives a reply from an upstream of another service, which also carries health reports. */
    private sendOtherReply(daemon: FakeDaemon): void {
        const { time, deployment } = this;
        const reports = this.selectRandomDaemon(this.daemons).scoreTable.listReports(time.getMonotonicMs());
        if (reports.length > 0) {
            time.start(deployment.latencyMs, () => daemon.scoreTable.merge(reports, time.getMonotonicMs()));
        }
        time.start(this.getRandomIntervalMs(deployment.otherReplyRate), () => this.sendOtherReply(daemon));
    }

    private recordRotationSizes(): void {
        for (const { selector } of this.daemons) {
            if (selector instanceof PowerOfTwoSelector) {
                const status = selector.listStatus(this.service);
                this.recorder.recordRotation(status.filter(({ ejected }) => !ejected).length);
            }
        }
        this.time.start(rotationCheckMs, () => this.recordRotationSizes());
    }

    private selectRandomDaemon(daemons: readonly FakeDaemon[]): FakeDaemon {
        return daemons[Math.floor(this.random.getFloat() * daemons.length)]!;
    }

    /** Exponentially distributed interval in milliseconds between events at `rate` per second. */
    private getRandomIntervalMs(rate: number): number {
        return -Math.log(1 - this.random.getFloat()) * 1_000 / rate;
    }
}
