import { ok, type Result } from "neverthrow";
import type { ActiveConfigReader } from "./config/active_config_reader.ts";
import type { Failure } from "./core/failure.ts";
import { LogLevel } from "./core/log_level.ts";
import type { Logger } from "./core/logger.ts";
import type { Timers } from "./core/timers.ts";
import type { Daemon } from "./daemon.ts";
import type { PauseDetector } from "./dispatch/pause_detector.ts";
import type { DaemonServers } from "./edge/daemon_servers.ts";
import type { UnexpectedErrorLog } from "./edge/system/unexpected_error_log.ts";
import { DaemonState } from "./lifecycle/daemon_state.ts";
import type { DrainReport } from "./lifecycle/drain_report.ts";
import type { Lifecycle } from "./lifecycle/lifecycle.ts";
import type { EventLoopMonitor } from "./metrics/event_loop_monitor.ts";
import type { ControlPlane } from "./published/control_plane.ts";
import type { ReloadableSettings } from "./settings/reloadable_settings.ts";
import { SettingsWatch } from "./settings/settings_watch.ts";

interface Options {
    readonly servers: DaemonServers;
    readonly store: ActiveConfigReader;
    readonly logger: Logger;
    readonly timers: Timers;
    readonly controlPlane: ControlPlane;
    readonly lifecycle: Lifecycle;
    readonly pauses: PauseDetector;
    readonly eventLoopMonitor: EventLoopMonitor;
    readonly unexpectedErrors: UnexpectedErrorLog;
    readonly output: { close(): Promise<void>; };
    /** Clients to close at the end. */
    readonly closers: readonly { close(): void | Promise<void>; }[];
}

/** Milliseconds to close connections; on the platform, 500 ms remain before the process is killed. */
const connectionCloseLimitMs = 200;

/** Starts the components of a daemon in order and stops them in reverse order. */
export class RunningDaemon implements Daemon {
    private readonly ended: Promise<void>;
    private resolveEnded: () => void = () => undefined;

    constructor(private readonly options: Options) {
        this.ended = new Promise(resolve => {
            this.resolveEnded = resolve;
        });
    }

    async start(): Promise<Result<void, Failure>> {
        const { controlPlane, lifecycle, logger, eventLoopMonitor, pauses, servers, unexpectedErrors } =
            this.options;
        logger.write(LogLevel.Info, "process_started", { pid: process.pid });
        unexpectedErrors.open();
        eventLoopMonitor.start();
        const internal = await servers.openInternal();
        if (internal.isErr()) {
            return internal;
        }
        pauses.start();
        await controlPlane.start();
        const callers = await servers.openCallers();
        if (callers.isErr()) {
            return callers;
        }
        lifecycle.setServing();
        return ok(undefined);
    }

    isReady(): boolean {
        const { lifecycle, store } = this.options;
        return lifecycle.getState() === DaemonState.Serving && store.getActive() !== undefined;
    }

    watchSettings(source: ReloadableSettings): SettingsWatch {
        return new SettingsWatch({ ...this.options, ...source });
    }

    drain(cause: string): Promise<Result<DrainReport, Failure>> {
        void this.options.lifecycle.waitForClose(cause).then(this.resolveEnded);
        return this.options.lifecycle.drain(cause);
    }

    waitForClose(): Promise<void> {
        return this.ended;
    }

    async close(): Promise<void> {
        const { closers, controlPlane, pauses, servers } = this.options;
        controlPlane.close();
        pauses.close();
        await servers.close();
        await Promise.all(closers.map(async closer => closer.close()));
        await this.closeLog();
    }

    async closeConnections(): Promise<void> {
        const listeners = this.options.servers.getDrainableListeners();
        const closed = Promise.all(listeners.map(listener => listener.close()));
        await Promise.race([
            closed,
            new Promise<void>(resolve => void this.options.timers.start(connectionCloseLimitMs, resolve)),
        ]);
    }

    closeLog(): Promise<void> {
        const { logger, output, unexpectedErrors } = this.options;
        unexpectedErrors.close();
        logger.write(LogLevel.Info, "process_stopped", { uptimeS: Math.round(process.uptime()) });
        return output.close();
    }
}
