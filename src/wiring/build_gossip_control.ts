import { ConfigurationTextParser } from "../config/configuration_text_parser.ts";
import { Pipeline } from "../core/pipeline.ts";
import { ConnectPeerControlClient } from "../edge/control/connect_peer_control_client.ts";
import { JsonInstanceListCodec } from "../edge/control/json_instance_list_codec.ts";
import { LinePartListReader } from "../edge/control/line_part_list_reader.ts";
import { TransportCache } from "../edge/control/transport_cache.ts";
import { GotPlatformReader } from "../edge/published_http/got_platform_reader.ts";
import { ConfigurationDocument } from "../gossip/configuration_document.ts";
import { DocumentFetcher } from "../gossip/document_fetcher.ts";
import { Gossip } from "../gossip/gossip.ts";
import { GossipControlPlane } from "../gossip/gossip_control_plane.ts";
import { GossipHandler } from "../gossip/gossip_handler.ts";
import { InstanceListDocument } from "../gossip/instance_list_document.ts";
import { PeerSelector } from "../gossip/peer_selector.ts";
import { ReaderElection } from "../gossip/reader_election.ts";
import { ServiceSectionSplitter } from "../gossip/service_section_splitter.ts";
import { StartupQuery } from "../gossip/startup_query.ts";
import { MembershipTable } from "../membership/membership_table.ts";
import { MergeInstancesFilter } from "../membership/merge_instances_filter.ts";
import { ActivateConfigFilter } from "../published/activate_config_filter.ts";
import { CheckConfigVersionFilter } from "../published/check_config_version_filter.ts";
import { ConfigStore } from "../published/config_store.ts";
import { DigestInstancesFilter } from "../published/digest_instances_filter.ts";
import { JoinConfigPartsFilter } from "../published/join_config_parts_filter.ts";
import { ParseConfigFilter } from "../published/parse_config_filter.ts";
import { PlatformWatcher } from "../published/platform_watcher.ts";
import { ValidateInstancesFilter } from "../published/validate_instances_filter.ts";
import type { ServeSettings } from "../settings/serve_settings.ts";
import type { BaseParts } from "./base_parts.ts";
import type { ControlParts } from "./control_parts.ts";

/** Builds the control plane of a daemon that shares configuration and instance list by gossip. */
export function buildGossipControl(settings: ServeSettings, base: BaseParts): ControlParts {
    const { daemonId, failureDomain } = settings;
    const { incarnation } = base.identity;
    const platform = new GotPlatformReader({ url: settings.platformUrl });
    const store = new ConfigStore(base);
    const membership = new MembershipTable(base);
    const codec = new JsonInstanceListCodec();
    const accept = Pipeline.start(new CheckConfigVersionFilter(store))
        .pipe(new ParseConfigFilter(store, new ConfigurationTextParser()))
        .pipe(new ActivateConfigFilter(store));
    const configuration = Pipeline.start(new JoinConfigPartsFilter(platform, new LinePartListReader())).pipe(
        accept,
    );
    const merge = Pipeline.start(new ValidateInstancesFilter()).pipe(new MergeInstancesFilter(membership));
    const instances = Pipeline.start(new DigestInstancesFilter(codec)).pipe(merge);
    const documents = [
        new ConfigurationDocument({ store, pipeline: accept, splitter: new ServiceSectionSplitter() }),
        new InstanceListDocument({ ...base, membership, pipeline: merge, codec }),
    ];
    const transports = new TransportCache();
    const control = new ConnectPeerControlClient(transports);
    const election = new ReaderElection({ daemonId, failureDomain, membership, clock: base.clock });
    const selector = new PeerSelector({
        daemonId,
        failureDomain,
        membership,
        random: base.random,
        seeds: settings.peers,
    });
    const gossip = new Gossip({
        ...base,
        daemonId,
        incarnation,
        health: base.scoreTable,
        control,
        documents,
        fetcher: new DocumentFetcher({ ...base, control, documents }),
        membership,
        store,
        selector,
        election,
        roundMs: settings.gossipIntervalMs,
    });
    const sources = { ...base, platform, configuration, instances };
    const watcher = new PlatformWatcher({ ...sources, role: election, watchMs: settings.watchMs });
    const startup = new StartupQuery({ ...sources, gossip, selector, store, limitMs: settings.startWaitMs });
    const gossipHandler = new GossipHandler({ gossip, documents, membership });
    return {
        store,
        membership,
        controlPlane: new GossipControlPlane({ startup, watcher, gossip }),
        announcer: gossip,
        gossipHandler,
        storeChanges: undefined,
        // Nothing here has a bound on removed keys, so that the configuration in force always counts as the newest.
        proof: { getProvedMs: () => base.clock.getMonotonicMs() },
        transports,
        beacons: undefined,
        closers: [transports, platform],
    };
}
