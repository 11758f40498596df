import type { ControlPlane } from "../published/control_plane.ts";
import type { PlatformWatcher } from "../published/platform_watcher.ts";
import type { Gossip } from "./gossip.ts";
import type { StartupQuery } from "./startup_query.ts";

interface Options {
    readonly startup: StartupQuery;
    readonly watcher: PlatformWatcher;
    readonly gossip: Gossip;
}

/**
 * Control plane in which the elected readers read the platform and all daemons forward documents by gossip.
 */
export class GossipControlPlane implements ControlPlane {
    constructor(private readonly options: Options) {}

    async start(): Promise<void> {
        const { gossip, startup, watcher } = this.options;
        // A daemon without a configuration serves as well: it answers NotReady until the platform or a peer
        // delivers one.
        await startup.run();
        watcher.start();
        gossip.start();
    }

    close(): void {
        this.options.watcher.close();
        this.options.gossip.close();
    }
}
