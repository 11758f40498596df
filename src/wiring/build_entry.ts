import { AdmitFilter } from "../admit/admit_filter.ts";
import { InFlightFilter } from "../admit/in_flight_filter.ts";
import { InFlightTable } from "../admit/in_flight_table.ts";
import { SaturationTable } from "../admit/saturation_table.ts";
import { AnswerFilter } from "../answer/answer_filter.ts";
import { CallerHandler } from "../answer/caller_handler.ts";
import { RefusalStatusFilter } from "../answer/refusal_status_filter.ts";
import { ReturnTimeFilter } from "../answer/return_time_filter.ts";
import { ReturnTimePolicy } from "../answer/return_time_policy.ts";
import { AuthenticateFilter } from "../authenticate/authenticate_filter.ts";
import { KeyAuthenticator } from "../authenticate/key_authenticator.ts";
import type { RevocationBounds } from "../authenticate/revocation_bounds.ts";
import { RevocationGuard } from "../authenticate/revocation_guard.ts";
import { Pipeline } from "../core/pipeline.ts";
import type { DaemonAdapters } from "../daemon_adapters.ts";
import { ConnectRevoker } from "../edge/control/connect_revoker.ts";
import { LinkForwarder } from "../edge/peer_link/link_forwarder.ts";
import { AttemptExchanger } from "../forward/attempt_exchanger.ts";
import { AttemptFilter } from "../forward/attempt_filter.ts";
import { AttemptLog } from "../forward/attempt_log.ts";
import { FleetRetryBudget } from "../forward/fleet_retry_budget.ts";
import { LocalForwarder } from "../forward/local_forwarder.ts";
import { NoHedgingPolicy } from "../forward/no_hedging_policy.ts";
import { OwnerForwarder } from "../forward/owner_forwarder.ts";
import { QuantileHedgingPolicy } from "../forward/quantile_hedging_policy.ts";
import { TokenRetryBudget } from "../forward/token_retry_budget.ts";
import { OwnerUpstreamIndex } from "../membership/owner_upstream_index.ts";
import { CombinedMetrics } from "../metrics/combined_metrics.ts";
import { KeyIssuer } from "../operations/key_issuer.ts";
import { KeyRequestFilter } from "../operations/key_request_filter.ts";
import { KeyedOutcomeFilter } from "../operations/keyed_outcome_filter.ts";
import { KeyedSelector } from "../operations/keyed_selector.ts";
import { KnownOwnerTable } from "../operations/known_owner_table.ts";
import { FilterPreviewStage } from "../preview/filter_preview_stage.ts";
import { RequestPreview } from "../preview/request_preview.ts";
import { SelectionPreviewStage } from "../preview/selection_preview_stage.ts";
import { UsageCapPreviewStage } from "../preview/usage_cap_preview_stage.ts";
import { ServiceTimes } from "../queue/service_times.ts";
import { HeaderCallerCodec } from "../receive/header_caller_codec.ts";
import { ReceiveFilter } from "../receive/receive_filter.ts";
import { RouteFilter } from "../route/route_filter.ts";
import { ExpectedLossSelector } from "../select/expected_loss_selector.ts";
import { PowerOfTwoSelector } from "../select/power_of_two_selector.ts";
import { RotationPreference } from "../select/rotation_preference.ts";
import { ServiceLoadMeter } from "../select/service_load_meter.ts";
import type { ServeSettings } from "../settings/serve_settings.ts";
import type { BaseParts } from "./base_parts.ts";
import type { ControlParts } from "./control_parts.ts";
import type { OwnerParts } from "./owner_parts.ts";

type EntrySettings = Pick<ServeSettings, "failureDomain" | "hedgePercent" | "region">;

/** Peers whose attempt counts are known; none without beacons, which carry the counts. */
const noPeerIds: ReadonlySet<string> = new Set();

/** Bounds of deployments whose configuration arrives by gossip and holds no keys. */
const noRevocationBounds: RevocationBounds = { isStrict: false, maxAgeMs: Infinity, applyMs: Infinity };

/** A preview counts nothing. */
const noMetrics = new CombinedMetrics([]);

/** Builds the entry side of a daemon: from a caller's request to its answer. */
export function buildEntry(
    settings: EntrySettings,
    base: BaseParts,
    control: ControlParts,
    owner: OwnerParts,
    adapters?: DaemonAdapters,
) {
    const codec = adapters?.callerCodec ?? new HeaderCallerCodec();
    const { clock, identity, metrics, random } = base;
    const { membership, store } = control;
    const connectRevoker = new ConnectRevoker(control.transports);
    const remote = new LinkForwarder({
        clock,
        memory: base.memory,
        sendRevoke: (address, target) => connectRevoker.revoke(address, target),
    });
    const local = new LocalForwarder({ owner: owner.localPipeline, revoker: owner.revoker });
    const forwarder = new OwnerForwarder({ daemonId: identity.ownerId, local, remote });
    const fleetBudget = adapters === undefined ? undefined : new FleetRetryBudget({
        clock,
        getBounds: () => adapters.getRetryBounds(),
        getGroupShare: () => control.beacons?.exchange.getGroupShare() ?? 0,
        getGroupPeerIds: () => control.beacons?.exchange.getGroupPeerIds() ?? noPeerIds,
        isListed: daemonId => membership.getDaemons().has(daemonId),
    });
    const budget = fleetBudget ?? new TokenRetryBudget(clock);
    const { failureDomain, hedgePercent = 0, region } = settings;
    const parts = { ...base, failureDomain, region, membership, leaving: membership };
    const selector = new PowerOfTwoSelector(parts);
    const lossSelector = new ExpectedLossSelector({
        ...parts,
        budget,
        peerStatus: control.beacons?.exchange ?? { isUnresponsive: () => false },
    });
    if (control.beacons !== undefined && fleetBudget !== undefined) {
        control.beacons.bindings.observer = lossSelector;
        control.beacons.bindings.counts = fleetBudget;
        control.beacons.bindings.listNeighbours = (...query) => lossSelector.listNeighbours(...query);
    }
    const preference = new RotationPreference({ config: store, selector });
    const owners = new KnownOwnerTable({ ...base, membership, incarnations: membership, preference });
    const inFlight = new InFlightTable();
    const saturation = new SaturationTable(clock, membership);
    const serviceTimes = new ServiceTimes();
    const attemptSelector = adapters === undefined ? selector : lossSelector;
    const loads = new ServiceLoadMeter({ membership, findLoad: id => attemptSelector.findLoad(id) });
    const hedging = hedgePercent === 0
        ? new NoHedgingPolicy()
        : new QuantileHedgingPolicy({ percent: hedgePercent, budget, loads });
    const attempt = new AttemptFilter({
        ...base,
        hedging,
        observer: new AttemptLog(base),
        repeatedRuns: owner.repeatedRuns,
        selector: attemptSelector,
        keyedSelector: new KeyedSelector({
            upstreams: new OwnerUpstreamIndex(() => membership.getList().list),
            owners,
            preference,
            baselines: selector,
        }),
        owners,
        exchanger: new AttemptExchanger({ ...base, forwarder }),
        budget,
        leaving: membership,
    });
    const guard = new RevocationGuard({
        proof: control.proof,
        getBounds: () => adapters?.getRevocationBounds() ?? noRevocationBounds,
    });
    const authenticator = new KeyAuthenticator({
        config: store,
        runs: owner.runs,
        guard,
    });
    const authentication = { clock, authenticator, getRetryAfterMs: () => guard.getRetryAfterMs() };
    const admitFilter = new AdmitFilter({ clock, config: store, inFlight, saturation, serviceTimes });
    const authenticate = Pipeline.start(new AuthenticateFilter({ ...authentication, metrics }));
    const admitted =
        (control.usageCap === undefined ? authenticate : authenticate.pipe(control.usageCap.filter))
            .pipe(admitFilter)
            .pipe(new InFlightFilter({ clock, inFlight, saturation, serviceTimes, inner: attempt }));
    const forward = Pipeline.start(new RouteFilter({ config: store, clock, random })).pipe(
        new ReturnTimeFilter({
            ...base,
            serviceTimes,
            policy: new ReturnTimePolicy(random),
            inner: new RefusalStatusFilter({
                metrics,
                refusalStatuses: codec.refusalStatuses,
                inner: admitted,
            }),
        }),
    );
    const serve = Pipeline.start(new KeyedOutcomeFilter(forward)).pipe(new AnswerFilter(codec));
    const handler = new CallerHandler({
        ...base,
        codec,
        receive: new ReceiveFilter({ clock, random, codec }),
        serve: adapters === undefined
            ? new KeyRequestFilter({ issuer: new KeyIssuer({ owners, clock, random }), inner: serve })
            : serve,
        metrics,
        callFailures: owner.callFailures,
    });
    const preview = new RequestPreview({
        clock,
        route: new RouteFilter({ config: store, clock, random }),
        stages: [
            new FilterPreviewStage(
                "authenticate",
                new AuthenticateFilter({ ...authentication, metrics: noMetrics }),
            ),
            ...control.usageCap === undefined ? [] : [new UsageCapPreviewStage(control.usageCap.cap)],
            new FilterPreviewStage("admit", admitFilter),
            new SelectionPreviewStage({ selector: attemptSelector, hedging }),
        ],
    });
    return { codec, handler, preview, remote, selector };
}
