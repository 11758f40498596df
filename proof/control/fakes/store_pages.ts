import { ok, type Result } from "neverthrow";
import type { PeerRevision } from "../../../src/beacon/peer_revision.ts";
import type { Configuration } from "../../../src/config/configuration.ts";
import type { Failure } from "../../../src/core/failure.ts";
import type { StoreChange } from "../../../src/published/store_change.ts";
import { StoreChangeKind } from "../../../src/published/store_change_kind.ts";
import type { StorePage } from "../../../src/published/store_page.ts";
import type { StoreRevision } from "../../../src/published/store_revision.ts";

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

function buildRevision(revision: number, era = 0): StoreRevision {
    return { era, revision };
}

function buildEraPage(era: number, revision: number, ...changes: StoreChange[]): Reply {
    return ok({ revision: buildRevision(revision, era), changes, items: [] });
}

function buildPage(revision: number, ...changes: StoreChange[]): Reply {
    return buildEraPage(0, revision, ...changes);
}

function buildPeer(revision: number, storeAgeMs?: number): PeerRevision {
    return { address: "peer:1", revision: buildRevision(revision), storeAgeMs };
}

/** Builders of pages of the store and of reports of other daemons. */
export const storePages = {
    buildUpstream,
    buildRemoval,
    buildConfiguration,
    buildPage,
    buildEraPage,
    buildPeer,
    buildRevision,
};
