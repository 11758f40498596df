import { connectNodeAdapter } from "@connectrpc/connect-node";
import type { RequestListener } from "node:http";
import { SeededRandom } from "../../proof/fakes/seeded_random.ts";
import { VirtualTime } from "../../proof/fakes/virtual_time.ts";
import { ConfigurationTextParser } from "../../src/config/configuration_text_parser.ts";
import { parseConfiguration } from "../../src/config/parse_configuration.ts";
import { Pipeline } from "../../src/core/pipeline.ts";
import { createControlRoutes } from "../../src/edge/control/create_control_routes.ts";
import { JsonInstanceListCodec } from "../../src/edge/control/json_instance_list_codec.ts";
import { ConfigurationDocument } from "../../src/gossip/configuration_document.ts";
import { DocumentFetcher } from "../../src/gossip/document_fetcher.ts";
import { Gossip } from "../../src/gossip/gossip.ts";
import { GossipHandler } from "../../src/gossip/gossip_handler.ts";
import { InstanceListDocument } from "../../src/gossip/instance_list_document.ts";
import type { PeerControlClient } from "../../src/gossip/peer_control_client.ts";
import { PeerSelector } from "../../src/gossip/peer_selector.ts";
import { ReaderElection } from "../../src/gossip/reader_election.ts";
import { ServiceSectionSplitter } from "../../src/gossip/service_section_splitter.ts";
import { HealthScoreTable } from "../../src/health/health_score_table.ts";
import { MembershipTable } from "../../src/membership/membership_table.ts";
import { MergeInstancesFilter } from "../../src/membership/merge_instances_filter.ts";
import { AttemptTable } from "../../src/operations/attempt_table.ts";
import { OperationTable } from "../../src/operations/operation_table.ts";
import { OwnerRevoker } from "../../src/operations/owner_revoker.ts";
import { ActivateConfigFilter } from "../../src/published/activate_config_filter.ts";
import { ConfigStore } from "../../src/published/config_store.ts";
import { ParseConfigFilter } from "../../src/published/parse_config_filter.ts";
import { createConfigurationText } from "../create_configuration_text.ts";
import { buildTargetUpstreams } from "./build_target_upstreams.ts";
import { NullSinks } from "./null_sinks.ts";

/** Creates the gossip of `daemonId` and the listener for other daemons, wired as in the composition root. */
export function createControlListener(
    daemonId: string,
    control: PeerControlClient,
): { readonly gossip: Gossip; readonly listener: RequestListener; } {
    const time = new VirtualTime();
    const sinks = new NullSinks();
    const base = {
        clock: time,
        timers: time,
        random: new SeededRandom(1),
        audit: sinks,
        logger: sinks,
        metrics: sinks,
    };
    const membership = new MembershipTable(base);
    membership.merge({ version: 1, upstreams: buildTargetUpstreams(24_000) }, "0".repeat(64), "peer")
        ._unsafeUnwrap();
    const store = new ConfigStore(base);
    const source = createConfigurationText({ services: 10, routes: 50, seed: 1 });
    const configuration = parseConfiguration(source)._unsafeUnwrap();
    store.update({ version: 1_234_567, digest: "0".repeat(64), source, configuration }, "peer");
    const documents = [
        new ConfigurationDocument({
            store,
            splitter: new ServiceSectionSplitter(),
            pipeline: Pipeline.start(new ParseConfigFilter(store, new ConfigurationTextParser()))
                .pipe(new ActivateConfigFilter(store)),
        }),
        new InstanceListDocument({
            ...base,
            membership,
            codec: new JsonInstanceListCodec(),
            pipeline: Pipeline.start(new MergeInstancesFilter(membership)),
        }),
    ];
    const location = { daemonId, failureDomain: "region-0-zone-0", membership };
    const incarnation = "5f3759df18c2a4b7e31";
    const gossip = new Gossip({
        health: new HealthScoreTable(),
        ...base,
        daemonId,
        incarnation,
        control,
        documents,
        fetcher: new DocumentFetcher({ ...base, control, documents }),
        membership,
        store,
        selector: new PeerSelector({ ...base, ...location, seeds: [] }),
        election: new ReaderElection({ ...base, ...location }),
    });
    const identity = { ownerId: daemonId, incarnation };
    const revoker = new OwnerRevoker({
        identity,
        attempts: new AttemptTable(),
        operations: new OperationTable(base),
    });
    const routes = createControlRoutes({
        identity,
        revoker,
        gossip: new GossipHandler({ gossip, documents, membership }),
        storeChanges: undefined,
    });
    return { gossip, listener: connectNodeAdapter({ routes }) };
}
