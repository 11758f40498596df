import type { BeaconExchange } from "../../src/beacon/beacon_exchange.ts";
import type { RevisionExchange } from "../../src/beacon/revision_exchange.ts";
import type { StateObserver } from "../../src/beacon/state_observer.ts";
import type { UpstreamState } from "../../src/core/upstream_state.ts";

interface ExchangeParts {
    readonly observer: StateObserver;
    readonly revisions: RevisionExchange;
    readonly listStates: () => readonly UpstreamState[];
}

interface Options {
    readonly id: string;
    readonly address: string;
    readonly failureDomain: string;
    readonly upstreamIds: readonly string[];
    readonly createExchange: (parts: ExchangeParts) => BeaconExchange;
}

/** A daemon that serves no requests and stores the upstream states that it receives. */
export class BeaconDaemon {
    readonly id: string;
    readonly address: string;
    readonly failureDomain: string;
    upstreamIds: readonly string[];
    readonly exchange: BeaconExchange;
    /** Newest received state of each upstream, with its time. */
    readonly latestStates = new Map<string, { readonly state: UpstreamState; readonly atMs: number; }>();
    revision = 1;
    peerRevision = 0;
    private datagrams = 0;
    private bytes = 0;
    private running = 0;
    private faultProbability = 0.1;
    private leaving = false;

    constructor({ address, createExchange, failureDomain, id, upstreamIds }: Options) {
        this.id = id;
        this.address = address;
        this.failureDomain = failureDomain;
        this.upstreamIds = upstreamIds;
        this.exchange = createExchange({
            observer: { recordState: (state, atMs) => this.recordState(state, atMs) },
            revisions: {
                getRevision: () => ({ era: 0, revision: this.revision }),
                hasLargeChange: () => false,
                getStoreAgeMs: () => undefined,
                recordPeer: ({ revision }) => {
                    this.peerRevision = Math.max(this.peerRevision, revision.revision);
                },
            },
            listStates: () => this.upstreamIds.map(upstreamId => this.buildState(upstreamId)),
        });
    }

    countDatagram(bytes: number): void {
        this.datagrams += 1;
        this.bytes += bytes;
    }

    /** Returns the datagrams and bytes sent and received since the last call, and resets the counts. */
    takeTraffic(): { readonly datagrams: number; readonly bytes: number; } {
        const { bytes, datagrams } = this;
        this.datagrams = 0;
        this.bytes = 0;
        return { datagrams, bytes };
    }

    setFaultProbability(probability: number): void {
        this.faultProbability = probability;
        this.exchange.recordChange();
    }

    setLeaving(): void {
        this.leaving = true;
        this.exchange.sendLeaving();
    }

    removeUpstreams(): void {
        this.upstreamIds = [];
    }

    setRunning(running: number): void {
        this.running = running;
        this.exchange.recordChange();
    }

    private recordState(state: UpstreamState, atMs: number): void {
        const known = this.latestStates.get(state.upstreamId);
        if (known === undefined || atMs >= known.atMs) {
            this.latestStates.set(state.upstreamId, { state, atMs });
        }
    }

    private buildState(upstreamId: string): UpstreamState {
        return {
            upstreamId,
            slots: 4,
            running: this.running,
            queuedShort: Math.max(0, this.running - 2),
            queuedLong: Math.max(0, this.running - 3),
            waitShortMs: 31.5 * this.running,
            waitLongMs: 78.3 * this.running,
            healthScore: 0,
            leaving: this.leaving,
            faultProbability: this.faultProbability,
        };
    }
}
