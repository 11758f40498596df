import type { Result } from "neverthrow";
import type { Failure } from "../core/failure.ts";
import { LogLevel } from "../core/log_level.ts";
import type { Logger } from "../core/logger.ts";
import type { ControlPlane } from "./control_plane.ts";

interface Options {
    readonly follower: ControlPlane;
    readonly beacons: { start(): void; close(): void; };
    /** Opens the socket for beacons. */
    readonly openSocket: () => Promise<Result<void, Failure>>;
    readonly closeSocket: () => void;
    readonly logger: Logger;
}

/** Control plane in which each daemon follows the store itself and sends beacons about its upstreams. */
export class StoreControlPlane implements ControlPlane {
    constructor(private readonly options: Options) {}

    async start(): Promise<void> {
        const { beacons, follower, logger, openSocket } = this.options;
        const opened = await openSocket();
        if (opened.isOk()) {
            beacons.start();
        }
        else {
            // Without beacons the daemon still receives upstream states in the replies of owners, only later.
            const { code, detail } = opened.error;
            logger.write(LogLevel.Error, "beacon_socket_failed", { code, detail });
        }
        await follower.start();
    }

    close(): void {
        this.options.follower.close();
        this.options.beacons.close();
        this.options.closeSocket();
    }
}
