import { NullSinks } from "../../../measure/capacity/null_sinks.ts";
import { AuthenticationKind } from "../../../src/authenticate/authentication_kind.ts";
import { RevocationGuard } from "../../../src/authenticate/revocation_guard.ts";
import type { Beacon } from "../../../src/beacon/beacon.ts";
import { BeaconExchange } from "../../../src/beacon/beacon_exchange.ts";
import type { Upstream } from "../../../src/core/upstream.ts";
import { MembershipTable } from "../../../src/membership/membership_table.ts";
import { ConfigProofExchange } from "../../../src/published/config_proof_exchange.ts";
import { ConfigStore } from "../../../src/published/config_store.ts";
import { StoreFollower } from "../../../src/published/store_follower.ts";
import type { StorePeers } from "../../../src/published/store_peers.ts";
import { SeededRandom } from "../../fakes/seeded_random.ts";
import type { VirtualTime } from "../../fakes/virtual_time.ts";
import type { ModelStore } from "./model_store.ts";
import { ModelStoreClient } from "./model_store_client.ts";
import { PausableProcess } from "./pausable_process.ts";

interface Options {
    readonly upstream: Upstream;
    readonly seed: number;
    readonly time: VirtualTime;
    readonly store: ModelStore;
    readonly isReachable: () => boolean;
    readonly getDelayMs: () => number;
    readonly send: (address: string, beacon: Beacon) => void;
    readonly fetchChanges: StorePeers["fetchChanges"];
    readonly maxAgeMs: number;
}

const sinks = new NullSinks();

/** The control plane of a daemon, and its decision about requests with keys. */
export class RevocationDaemon {
    readonly process: PausableProcess;
    readonly configs = new ConfigStore({ audit: sinks, logger: sinks, metrics: sinks });
    readonly follower: StoreFollower;
    readonly exchange: BeaconExchange;
    readonly client: ModelStoreClient;
    private readonly guard: RevocationGuard;

    constructor(readonly options: Options) {
        const { getDelayMs, isReachable, maxAgeMs, seed, send, store, time, upstream } = options;
        this.process = new PausableProcess(time);
        const { clock, timers } = this.process;
        const random = new SeededRandom(seed);
        const base = { clock, timers, random, audit: sinks, logger: sinks, metrics: sinks };
        const getBounds = () => ({ isStrict: true, maxAgeMs, applyMs: 2_500 });
        const membership = new MembershipTable(base);
        this.client = new ModelStoreClient({
            store,
            process: this.process,
            time,
            random,
            isReachable,
            getDelayMs,
        });
        this.follower = new StoreFollower({
            ...base,
            store: this.client,
            configs: this.configs,
            membership,
            startWaitMs: 60_000,
            getApplyMs: () => 2_500,
            getSilenceMs: () => 3_000,
            getBounds,
            peers: {
                getRank: () => this.exchange.storeBeacons.getRank(),
                sendRevision: () => this.exchange.storeBeacons.sendRevision(),
                sendContact: () => this.exchange.storeBeacons.sendContact(),
                fetchChanges: options.fetchChanges,
            },
        });
        const { proof } = this.follower;
        this.exchange = new BeaconExchange({
            ...base,
            identity: { ownerId: upstream.ownerId, incarnation: `${seed}` },
            failureDomain: upstream.failureDomain,
            membership,
            transport: { send },
            observer: { recordState: () => undefined },
            listStates: () => [],
            counts: { listCounts: () => [], recordPeerCounts: () => undefined },
            revisions: this.follower,
            proofs: new ConfigProofExchange({ clock, configs: this.configs, proof, getBounds }),
        });
        this.guard = new RevocationGuard({ proof, getBounds });
    }

    start(): void {
        this.exchange.start();
        void this.follower.start();
    }

    /** True when a request runs now whose key the configuration in force has. */
    isServing(): boolean {
        const kind = this.guard.decide(true, this.process.clock.getMonotonicMs());
        return this.process.isRunning() && kind === AuthenticationKind.Accepted;
    }

    close(): void {
        this.process.close();
        this.exchange.close();
        this.follower.close();
    }
}
