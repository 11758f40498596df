import { ok, type Result } from "neverthrow";
import type { Failure } from "./core/failure.ts";
import type { Daemon } from "./daemon.ts";
import type { PauseDetector } from "./dispatch/pause_detector.ts";
import type { DaemonServers } from "./edge/daemon_servers.ts";
import type { Gossip } from "./gossip/gossip.ts";
import type { StartupQuery } from "./gossip/startup_query.ts";
import type { DrainReport } from "./lifecycle/drain_report.ts";
import type { Lifecycle } from "./lifecycle/lifecycle.ts";
import type { PlatformWatcher } from "./platform/platform_watcher.ts";

interface Options {
    readonly servers: DaemonServers;
    readonly startup: StartupQuery;
    readonly watcher: PlatformWatcher;
    readonly gossip: Gossip;
    readonly lifecycle: Lifecycle;
    readonly pauses: PauseDetector;
    /** Clients to close at the end. */
    readonly closers: readonly { close(): void | Promise<void>; }[];
}

/** Starts the parts of a daemon in order and stops them in the reverse order. */
export class RunningDaemon implements Daemon {
    private readonly ended: Promise<void>;
    private resolveEnded: () => void = () => undefined;

    constructor(private readonly options: Options) {
        this.ended = new Promise(resolve => {
            this.resolveEnded = resolve;
        });
    }

    async start(): Promise<Result<void, Failure>> {
        const { gossip, lifecycle, pauses, servers, startup, watcher } = this.options;
        const internal = await servers.openInternal();
        if (internal.isErr()) {
            return internal;
        }
        pauses.start();
        // Without a configuration the daemon serves too: it answers NotReady until the watches bring one.
        await startup.run();
        watcher.start();
        gossip.start();
        const callers = await servers.openCallers();
        if (callers.isErr()) {
            return callers;
        }
        lifecycle.setServing();
        return ok(undefined);
    }

    drain(cause: string): Promise<Result<DrainReport, Failure>> {
        void this.options.lifecycle.waitForClose(cause).then(this.resolveEnded);
        return this.options.lifecycle.drain(cause);
    }

    waitForClose(): Promise<void> {
        return this.ended;
    }

    async close(): Promise<void> {
        const { closers, gossip, pauses, servers, watcher } = this.options;
        watcher.close();
        gossip.close();
        pauses.close();
        await servers.close();
        await Promise.all(closers.map(async closer => closer.close()));
    }
}
