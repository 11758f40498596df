import assert from "node:assert/strict";
import { test } from "node:test";
import type { BeaconDaemon } from "../../proof/fakes/beacon_daemon.ts";
import { BeaconNetwork } from "../../proof/fakes/beacon_network.ts";

/** Bytes a second, sent and received, that a daemon may use for control. */
const controlBytes = 6_000;
/** Daemons of a failure domain and upstreams of a daemon at the size for which the system is designed. */
const designSize = 58;
const designUpstreams = 13;

interface Rates {
    readonly datagrams: number;
    readonly bytes: number;
}

/** Datagrams and bytes a second of the busiest daemon, over 10 s. */
async function measureRates(size: number, upstreams: number, requestGapMs?: number): Promise<Rates> {
    const network = new BeaconNetwork({ domains: [size, 10, 10], upstreams, seed: size });
    if (requestGapMs !== undefined) {
        startRequests(network, requestGapMs);
    }
    await network.time.run(3_000);
    network.daemons.forEach(daemon => daemon.takeTraffic());
    await network.time.run(10_000);
    const traffic = network.daemons.slice(0, size).map(daemon => daemon.takeTraffic());
    network.close();
    return {
        datagrams: Math.max(...traffic.map(({ datagrams }) => datagrams)) / 10,
        bytes: Math.max(...traffic.map(({ bytes }) => bytes)) / 10,
    };
}

/** A request starts or ends at each daemon every `gapMs` milliseconds. */
function startRequests(network: BeaconNetwork, gapMs: number): void {
    let running = 0;
    const runChange = (): void => {
        running = (running + 1) % 5;
        network.daemons.forEach(daemon => daemon.setRunning(running));
        network.time.start(gapMs, runChange);
    };
    runChange();
}

function hasReceived(
    daemon: BeaconDaemon,
    upstreamId: string,
    isMet: (state: ReportedCondition) => boolean,
): boolean {
    const latest = daemon.latestStates.get(upstreamId);
    return latest !== undefined && isMet(latest.state);
}

interface ReportedCondition {
    readonly faultProbability: number;
    readonly leaving: boolean;
}

test("the beacons of a daemon do not increase with the size of its failure domain or with its requests", async () => {
    const small = await measureRates(10, 1);
    for (
        const [size, upstreams] of [[10, 1], [30, 1], [designSize, 1], [designSize, designUpstreams]] as const
    ) {
        for (const gapMs of [undefined, 5]) {
            const { bytes, datagrams } = await measureRates(size, upstreams, gapMs);
            const text =
                `${size} daemons, ${upstreams} upstreams, requests ${gapMs}: ${bytes} bytes, ${datagrams}`;
            assert.ok(bytes <= controlBytes, text);
            // The number of received datagrams varies by chance.
            assert.ok(datagrams <= small.datagrams * 1.25, `${text}; ${small.datagrams} with 10 daemons`);
        }
    }
});

test("all daemons of a large failure domain and of others receive a condition change within 1 s", async () => {
    const network = new BeaconNetwork({ domains: [designSize, 30], upstreams: 1, seed: 1 });
    await network.time.run(5_000);
    const owner = network.daemons[3]!;
    const upstreamId = owner.upstreamIds[0]!;
    const listUninformed = (isMet: (state: ReportedCondition) => boolean) =>
        network.daemons.filter(daemon => daemon !== owner && !hasReceived(daemon, upstreamId, isMet));

    owner.setFaultProbability(0.7);
    await network.time.run(1_000);
    assert.deepEqual(
        listUninformed(({ faultProbability }) => faultProbability > 0.5).map(({ id }) => id),
        [],
    );

    owner.setFaultProbability(0.1);
    await network.time.run(1_000);
    assert.deepEqual(
        listUninformed(({ faultProbability }) => faultProbability < 0.5).map(({ id }) => id),
        [],
    );

    owner.setLeaving();
    await network.time.run(1_000);
    assert.deepEqual(listUninformed(({ leaving }) => leaving).map(({ id }) => id), []);
    network.close();
});

test("a forwarded state does not replace a newer one and keeps the time of its report", async () => {
    const network = new BeaconNetwork({ domains: [30], upstreams: 1, seed: 2 });
    const [owner] = network.daemons;
    const upstreamId = owner!.upstreamIds[0]!;
    let probability = 0.1;
    const madeAtMs = new Map<number, number>();
    for (let step = 0; step < 200; step += 1) {
        probability += 0.0005;
        owner!.setFaultProbability(probability);
        madeAtMs.set(probability, network.time.getMonotonicMs());
        const before = network.daemons.map(({ latestStates }) =>
            latestStates.get(upstreamId)?.state.faultProbability ?? 0
        );
        await network.time.run(50);
        for (const [index, { latestStates }] of network.daemons.entries()) {
            const after = latestStates.get(upstreamId);
            assert.ok((after?.state.faultProbability ?? 0) >= before[index]!);
            if (after !== undefined && madeAtMs.has(after.state.faultProbability)) {
                // The owner reports within 50 ms after the probability is set; 20 ms are for the path.
                const madeMs = madeAtMs.get(after.state.faultProbability)!;
                assert.ok(after.atMs >= madeMs && after.atMs <= madeMs + 50 + 20, `${after.atMs - madeMs}`);
            }
        }
    }
    network.close();
});

test("an isolated daemon counts as unresponsive at all others of a large failure domain within 4 s", async () => {
    const network = new BeaconNetwork({ domains: [designSize], upstreams: 1, seed: 3 });
    await network.time.run(20_000);
    const [unresponsive, ...others] = network.daemons;
    for (const { id } of others) {
        network.addCut(unresponsive!.id, id);
        network.addCut(id, unresponsive!.id);
    }
    await network.time.run(4_000);
    assert.deepEqual(
        others.filter(({ exchange }) => !exchange.isUnresponsive(unresponsive!.id)).map(({ id }) => id),
        [],
    );
    network.close();
});

test("a path that is down in one direction is detected at both of its ends", async () => {
    const network = new BeaconNetwork({ domains: [designSize], upstreams: 1, seed: 4 });
    await network.time.run(20_000);
    const [left, right, third] = [network.daemons[0]!, network.daemons[40]!, network.daemons[20]!];
    network.addCut(left.id, right.id);
    // Each daemon probes each other one once in a round of 58 periods of 300 ms; the time between two probes
    // is at most two rounds.
    await network.time.run(2 * designSize * 300 + 1_000);
    assert.equal(left.exchange.isUnresponsive(right.id), true);
    assert.equal(right.exchange.isUnresponsive(left.id), true);
    assert.equal(third.exchange.isUnresponsive(left.id) || third.exchange.isUnresponsive(right.id), false);
    network.close();
});

test("a daemon receives the newer store revision of others when its own watch of the store delivers none", async () => {
    const network = new BeaconNetwork({ domains: [designSize], upstreams: 1, seed: 5 });
    await network.time.run(2_000);
    const [behind, ...others] = network.daemons;
    others.forEach(daemon => {
        daemon.revision = 2;
    });
    await network.time.run(1_000);
    assert.equal(behind!.peerRevision, 2);
    network.close();
});
