/**
 * The HTTP servers of a daemon: for callers, other daemons, administration and, if enabled, metrics.
 *
 * @module
 */
import { connectNodeAdapter } from "@connectrpc/connect-node";
import type Koa from "koa";
import { err, ok, type Result } from "neverthrow";
import type { CallerHandler } from "../answer/caller_handler.ts";
import type { CallerLimits } from "../config/caller_limits.ts";
import { Code } from "../core/code.ts";
import { createFailure } from "../core/create_failure.ts";
import type { Failure } from "../core/failure.ts";
import type { Filter } from "../core/filter.ts";
import { LogLevel } from "../core/log_level.ts";
import type { Logger } from "../core/logger.ts";
import { Outcome } from "../core/outcome.ts";
import type { OwnerReply } from "../forward/owner_reply.ts";
import type { GossipHandler } from "../gossip/gossip_handler.ts";
import { DaemonState } from "../lifecycle/daemon_state.ts";
import type { DrainReport } from "../lifecycle/drain_report.ts";
import type { DrainableListener } from "../lifecycle/drainable_listener.ts";
import type { Lifecycle } from "../lifecycle/lifecycle.ts";
import { RequestSource } from "../lifecycle/request_source.ts";
import type { MemoryGuard } from "../memory/memory_guard.ts";
import type { OwnerIdentity } from "../operations/owner_identity.ts";
import type { Revoker } from "../operations/revoker.ts";
import type { DecisionTrace } from "../preview/decision_trace.ts";
import type { PreviewQuery } from "../preview/preview_query.ts";
import type { StoreChangesSource } from "../published/store_changes_source.ts";
import type { IncomingDispatch } from "../queue/incoming_dispatch.ts";
import type { CallerCodec } from "../receive/caller_codec.ts";
import type { ServeSettings } from "../settings/serve_settings.ts";
import type { DaemonStatus } from "../status/daemon_status.ts";
import { createAdminApp } from "./admin_http/create_admin_app.ts";
import { createCallerApp } from "./caller_http/create_caller_app.ts";
import { createControlRoutes } from "./control/create_control_routes.ts";
import type { ConnectionCloseCause } from "./http/connection_close_cause.ts";
import { createInFlightMiddleware } from "./http/create_in_flight_middleware.ts";
import { HttpListener } from "./http/http_listener.ts";
import { createMetricsApp } from "./metrics_http/create_metrics_app.ts";
import type { RegistryMetrics } from "./metrics_http/registry_metrics.ts";
import { LinkListener } from "./peer_link/link_listener.ts";

interface Options {
    readonly callerCodec: CallerCodec;
    readonly settings: ServeSettings;
    readonly identity: OwnerIdentity;
    readonly logger: Logger;
    readonly lifecycle: Lifecycle;
    readonly memory: MemoryGuard;
    readonly getCallerLimits: () => CallerLimits;
    /** Records that a connection of a caller was closed by a limit. */
    readonly recordClosed: (cause: ConnectionCloseCause) => void;
    readonly caller: CallerHandler;
    readonly owner: Filter<IncomingDispatch, OwnerReply>;
    readonly revoker: Revoker;
    /** Undefined when the daemons do not exchange documents by gossip. */
    readonly gossip: GossipHandler | undefined;
    readonly storeChanges: StoreChangesSource | undefined;
    /** Undefined when metrics are not served. */
    readonly metrics: RegistryMetrics | undefined;
    readonly buildStatus: () => DaemonStatus;
    readonly buildPreview: (query: PreviewQuery) => DecisionTrace;
    readonly drain: (cause: string) => Promise<Result<DrainReport, Failure>>;
}

const drainTimeoutFailure = createFailure(Code.DrainTimeout, {
    outcome: Outcome.Unknown,
    detail: "the daemon ended before an answer arrived",
});

/** Opens and closes the servers. */
export class DaemonServers {
    private readonly listeners: HttpListener[] = [];
    private readonly drainableListeners: HttpListener[] = [];
    private linkListener: LinkListener | undefined;

    constructor(private readonly options: Options) {}

    /** Opens the interfaces for administration and for other daemons. Fails with PortUnavailable. */
    async openInternal(): Promise<Result<void, Failure>> {
        const { settings, owner, identity, lifecycle, memory } = this.options;
        const opened = await this.openOperatorPorts();
        if (opened.isErr()) {
            return opened;
        }
        const linkListener = new LinkListener({
            identity,
            owner,
            registerRequest: () => lifecycle.registerRequest(RequestSource.Daemon),
            memory,
        });
        const peerListener = await HttpListener.open(
            settings.peerAddress,
            connectNodeAdapter({ routes: createControlRoutes(this.options) }),
        );
        if (peerListener.isErr()) {
            return err(peerListener.error);
        }
        peerListener.value.setUpgradeHandler((...upgrade) => linkListener.handleUpgrade(...upgrade));
        this.linkListener = linkListener;
        return this.addDrainableListener(peerListener);
    }

    /** Opens the interface for callers. Fails with PortUnavailable. */
    async openCallers(): Promise<Result<void, Failure>> {
        const { caller, callerCodec, getCallerLimits, memory, recordClosed, settings } = this.options;
        const app = createCallerApp({
            codec: callerCodec,
            inFlightMiddleware: this.buildInFlightMiddleware(() => this.refuseCaller()),
            handle: incoming => caller.handle(incoming),
            getMaxRequestBytes: () => Math.min(settings.maxRequestBytes, getCallerLimits().maxBodyBytes),
            memory,
        }).callback();
        const listener = await HttpListener.open(settings.callerAddress, (request, response) => {
            void app(request, response);
        }, {
            isDraining: () => this.isDraining(),
            maxBodyBytes: settings.maxRequestBytes,
            getLimits: getCallerLimits,
            maxConnections: settings.maxCallerConnections,
            handleClosed: cause => recordClosed(cause),
        });
        return this.addDrainableListener(listener);
    }

    /** Listeners that a drain stops and closes; the one for administration is open until the process ends. */
    getDrainableListeners(): readonly DrainableListener[] {
        return this.linkListener === undefined
            ? this.drainableListeners
            : [...this.drainableListeners, this.linkListener];
    }

    async close(): Promise<void> {
        await this.linkListener?.close();
        await Promise.all(this.listeners.map(listener => listener.close()));
    }

    /** Opens the interfaces for administration and for metrics. */
    private async openOperatorPorts(): Promise<Result<void, Failure>> {
        const { logger, metrics, settings } = this.options;
        if (metrics !== undefined && settings.metricsListenAddress !== undefined) {
            const opened = await this.openApp(settings.metricsListenAddress, createMetricsApp(metrics));
            if (opened.isErr()) {
                // Requests are served even if metrics are not.
                const { code, detail } = opened.error;
                logger.write(LogLevel.Error, "metrics_port_failed", { code, detail });
            }
        }
        return this.openApp(settings.adminAddress, createAdminApp(this.options));
    }

    private async openApp(address: string, app: Koa): Promise<Result<void, Failure>> {
        const handle = app.callback();
        const listener = await HttpListener.open(address, (request, response) => {
            void handle(request, response);
        });
        return listener.map(opened => void this.listeners.push(opened));
    }

    private refuseCaller(): boolean {
        const { lifecycle } = this.options;
        if (!lifecycle.isRefusing()) {
            return false;
        }
        lifecycle.recordRefusal();
        return true;
    }

    private buildInFlightMiddleware(refuse: () => boolean = () => false) {
        const { callerCodec, lifecycle } = this.options;
        return createInFlightMiddleware({
            createRefusal: () => callerCodec.encodeProblem(createFailure(Code.OwnerLeaving), ""),
            createDrainTimeoutAnswer: () => callerCodec.encodeProblem(drainTimeoutFailure, ""),
            refuse,
            registerRequest: sendAnswer => lifecycle.registerRequest(RequestSource.Caller, sendAnswer),
            isDraining: () => this.isDraining(),
        });
    }

    private isDraining(): boolean {
        return this.options.lifecycle.getState() === DaemonState.Draining;
    }

    private addDrainableListener(listener: Result<HttpListener, Failure>): Result<void, Failure> {
        if (listener.isErr()) {
            return err(listener.error);
        }
        this.listeners.push(listener.value);
        this.drainableListeners.push(listener.value);
        return ok(undefined);
    }
}
