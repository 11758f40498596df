/**
 * Wires the components of a daemon. Only this file and the folder `wiring` reference concrete
 * implementations.
 *
 * @example
 * ```ts
 * const daemon = buildDaemon(settings);
 * const started = await daemon.start();
 * ```
 *
 * @module
 */
import { defaultCallerLimits } from "./config/default_caller_limits.ts";
import type { Daemon } from "./daemon.ts";
import type { DaemonAdapters } from "./daemon_adapters.ts";
import { DaemonServers } from "./edge/daemon_servers.ts";
import { RunningDaemon } from "./running_daemon.ts";
import type { ServeSettings } from "./settings/serve_settings.ts";
import { StatusBuilder } from "./status/status_builder.ts";
import { buildBase } from "./wiring/build_base.ts";
import { buildEntry } from "./wiring/build_entry.ts";
import { buildGossipControl } from "./wiring/build_gossip_control.ts";
import { buildOwner } from "./wiring/build_owner.ts";
import { buildStoreControl } from "./wiring/build_store_control.ts";

interface BuildOptions {
    /** Absent when the daemon uses zinniaglade's own interfaces. */
    readonly adapters?: DaemonAdapters;
}

/** Builds a daemon that opens no port and no connection before `start`. */
export function buildDaemon(settings: ServeSettings, { adapters }: BuildOptions = {}): Daemon {
    const base = buildBase(settings);
    const control = adapters === undefined
        ? buildGossipControl(settings, base)
        : buildStoreControl(settings, base, adapters);
    const owner = buildOwner(settings, base, control, adapters);
    const entry = buildEntry(settings, base, control, owner, adapters);
    const status = new StatusBuilder({ ...settings, ...base, ...control, ...owner, health: entry.selector });
    const servers: DaemonServers = new DaemonServers({
        settings,
        callerCodec: entry.codec,
        identity: base.identity,
        logger: base.logger,
        memory: base.memory,
        recordClosed: cause => base.metrics.addCount("caller.connection_closed", { cause }),
        getCallerLimits: () => control.store.getActive()?.configuration.callerLimits ?? defaultCallerLimits,
        lifecycle: owner.lifecycle,
        caller: entry.handler,
        owner: owner.remotePipeline,
        revoker: owner.revoker,
        gossip: control.gossipHandler,
        storeChanges: control.storeChanges,
        metrics: base.registry,
        buildStatus: () => status.build(),
        buildPreview: query => entry.preview.build(query),
        drain: cause => daemon.drain(cause),
    });
    owner.setListeners(() => servers.getDrainableListeners());
    const closers = [entry.remote, ...owner.closers, ...control.closers, ...base.statsd ? [base.statsd] : []];
    const daemon = new RunningDaemon({ ...base, ...control, ...owner, servers, closers });
    return daemon;
}
