import { ok, type Result } from "neverthrow";
import type { PeerRevision } from "../../../src/beacon/peer_revision.ts";
import type { Configuration } from "../../../src/config/configuration.ts";
import type { Failure } from "../../../src/core/failure.ts";
import type { StoreChange } from "../../../src/published/store_change.ts";
import { StoreChangeKind } from "../../../src/published/store_change_kind.ts";
import type { StorePage } from "../../../src/published/store_page.ts";

type Reply = Result<StorePage, Failure>;

function buildUpstream(id: string, revision: number, leaving = false): StoreChange {
    const place = { failureDomain: "z", region: "r", ownerId: id, ownerAddress: id };
    return {
        kind: StoreChangeKind.Upstream,
        revision,
        upstream: { id, service: "payments", leaving, ...place },
    };
}

function buildRemoval(upstreamId: string, revision: number): StoreChange {
    return { kind: StoreChangeKind.UpstreamRemoved, revision, upstreamId };
}

function buildConfiguration(version: number, revision: number): StoreChange {
    const configuration: Configuration = { team: "", services: new Map() };
    return { kind: StoreChangeKind.Configuration, revision, version, source: `${version}`, configuration };
}

function buildPage(revision: number, ...changes: StoreChange[]): Reply {
    return ok({ revision, changes, items: [] });
}

function buildPeer(revision: number, storeAgeMs?: number): PeerRevision {
    return { address: "peer:1", revision, storeAgeMs };
}

/** Builders of pages of the store and of reports of other daemons. */
export const storePages = { buildUpstream, buildRemoval, buildConfiguration, buildPage, buildPeer };
