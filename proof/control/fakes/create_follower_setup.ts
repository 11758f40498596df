import { MembershipTable } from "../../../src/membership/membership_table.ts";
import { ConfigStore } from "../../../src/published/config_store.ts";
import { StoreFollower } from "../../../src/published/store_follower.ts";
import { SeededRandom } from "../../fakes/seeded_random.ts";
import { VirtualTime } from "../../fakes/virtual_time.ts";
import { FakePlatformStore } from "./fake_platform_store.ts";
import { FakeStorePeers } from "./fake_store_peers.ts";

/** Builds a follower of a fake store in virtual time. */
export function createFollowerSetup() {
    const time = new VirtualTime();
    const sinks = {
        record: () => undefined,
        write: () => undefined,
        addCount: () => undefined,
        setGauge: () => undefined,
        recordTime: () => undefined,
    };
    const base = { clock: time, timers: time, audit: sinks, logger: sinks, metrics: sinks };
    const configs = new ConfigStore(base);
    const membership = new MembershipTable(base);
    const store = new FakePlatformStore(time);
    const peers = new FakeStorePeers();
    const follower = new StoreFollower({
        ...base,
        store,
        configs,
        membership,
        random: new SeededRandom(1),
        startWaitMs: 60_000,
        getApplyMs: () => 2_000,
        getSilenceMs: () => 3_000,
        getBounds: () => ({ isStrict: false, maxAgeMs: 5_000, applyMs: 2_500 }),
        peers,
    });
    const listIds = () => membership.list("payments").map(({ id }) => id).join();
    return { time, configs, store, peers, follower, listIds };
}
