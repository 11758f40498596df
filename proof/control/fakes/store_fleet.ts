import { err, ok, type Result } from "neverthrow";
import { NullSinks } from "../../../measure/capacity/null_sinks.ts";
import { Code } from "../../../src/core/code.ts";
import { createFailure } from "../../../src/core/create_failure.ts";
import type { Failure } from "../../../src/core/failure.ts";
import { MembershipTable } from "../../../src/membership/membership_table.ts";
import { ConfigStore } from "../../../src/published/config_store.ts";
import type { PeerChanges } from "../../../src/published/peer_changes.ts";
import { StoreChangeKind } from "../../../src/published/store_change_kind.ts";
import { StoreFollower } from "../../../src/published/store_follower.ts";
import type { StoreRevision } from "../../../src/published/store_revision.ts";
import { SeededRandom } from "../../fakes/seeded_random.ts";
import { VirtualTime } from "../../fakes/virtual_time.ts";
import { LinkLimitedStore } from "./link_limited_store.ts";
import { ModelStore } from "./model_store.ts";

interface Options {
    /** Bytes that the link of each daemon carries in a millisecond; the first daemon watches the store. */
    readonly bytesPerMs: readonly number[];
    readonly applyMs: number;
}

/** Milliseconds that a message between daemons takes, and between two beacons of a daemon to another one. */
const hopMs = 1;
const beaconPeriodMs = 300;
const sinks = new NullSinks();

/** The daemons of one failure domain that follow a store, each over a link of its own. */
export class StoreFleet {
    readonly time = new VirtualTime();
    readonly stores: readonly LinkLimitedStore[];
    private readonly model = new ModelStore(this.time);
    private readonly configs: readonly ConfigStore[];
    private readonly followers: readonly StoreFollower[];
    private version = 0;

    constructor({ applyMs, bytesPerMs }: Options) {
        const base = { clock: this.time, timers: this.time, audit: sinks, logger: sinks, metrics: sinks };
        this.stores = bytesPerMs.map(rate =>
            new LinkLimitedStore({ store: this.model, time: this.time, bytesPerMs: rate })
        );
        this.configs = bytesPerMs.map(() => new ConfigStore(base));
        this.followers = this.stores.map((store, index) =>
            new StoreFollower({
                ...base,
                store,
                configs: this.configs[index]!,
                membership: new MembershipTable(base),
                random: new SeededRandom(1 + index),
                startWaitMs: 60_000,
                getApplyMs: () => applyMs,
                getSilenceMs: () => 3_000,
                getBounds: () => ({ isStrict: false, maxAgeMs: 5_000, applyMs }),
                peers: {
                    getRank: () => index,
                    sendRevision: () => this.followers.forEach((_, peer) => this.sendBeacon(index, peer)),
                    sendContact: () => this.sendBeacon(index, index + 1),
                    fetchChanges: (address, after) => this.fetchChanges(Number(address), after),
                },
            })
        );
    }

    /** Writes the first configuration and starts the daemons. */
    async start(length: number): Promise<void> {
        this.write(length);
        this.followers.forEach((follower, index) => {
            void follower.start();
            this.sendBeacons(index, index + 1);
        });
        await this.time.run(5_000);
    }

    close(): void {
        this.followers.forEach(follower => follower.close());
    }

    /** Writes a configuration of so many characters and returns its version. */
    write(length: number): number {
        this.version += 1;
        const { version } = this;
        this.model.write("configuration", revision => ({
            kind: StoreChangeKind.Configuration,
            revision,
            version,
            source: `${version} ${"x".repeat(length)}`,
            configuration: { team: "", services: new Map() },
        }));
        return version;
    }

    /** Versions in force at the daemons. */
    listVersions(): readonly (number | undefined)[] {
        return this.configs.map(configs => configs.getActive()?.version);
    }

    private sendBeacon(from: number, to: number): void {
        const follower = this.followers[from]!;
        if (from !== to && to < this.followers.length) {
            const peer = {
                address: `${from}`,
                revision: follower.getRevision(),
                hasLargeChange: follower.hasLargeChange(),
                storeAgeMs: follower.getStoreAgeMs(),
            };
            this.time.start(hopMs, () => this.followers[to]!.recordPeer(peer));
        }
    }

    /** Probes the other daemons in turn. */
    private sendBeacons(from: number, to: number): void {
        this.sendBeacon(from, to % this.followers.length);
        this.time.start(beaconPeriodMs, () => this.sendBeacons(from, to + 1));
    }

    private fetchChanges(peer: number, after: StoreRevision) {
        return new Promise<Result<PeerChanges, Failure>>(resolve => {
            this.time.start(2 * hopMs, () => {
                const changes = this.followers[peer]!.findChanges(after);
                resolve(
                    changes === undefined ? err(createFailure(Code.PlatformHistoryGone)) : ok(changes),
                );
            });
        });
    }
}
