import type { ControlPlane } from "../published/control_plane.ts";
import type { PlatformWatcher } from "../published/platform_watcher.ts";
import type { Gossip } from "./gossip.ts";
import type { StartupQuery } from "./startup_query.ts";

interface Options {
    readonly startup: StartupQuery;
    readonly watcher: PlatformWatcher;
    readonly gossip: Gossip;
}

/** Some daemons read the platform, and all pass on what they know. */
export class GossipControlPlane implements ControlPlane {
    constructor(private readonly options: Options) {}

    async start(): Promise<void> {
        const { gossip, startup, watcher } = this.options;
        // Without a configuration the daemon serves too: it answers NotReady until the watches bring one.
        await startup.run();
        watcher.start();
        gossip.start();
    }

    close(): void {
        this.options.watcher.close();
        this.options.gossip.close();
    }
}
