import { LogLevel } from "../core/log_level.ts";
import type { Logger } from "../core/logger.ts";

/** Logs the daemons of the local failure domain that become unresponsive or responsive. */
export class PeerStatusLog {
    private unresponsive: ReadonlySet<string> = new Set();

    constructor(private readonly logger: Logger) {}

    /** Logs the differences to the last call. */
    record(unresponsiveIds: readonly string[]): void {
        const unresponsive = new Set(unresponsiveIds);
        for (const daemon of unresponsive) {
            if (!this.unresponsive.has(daemon)) {
                this.logger.write(LogLevel.Warn, "peer_silent", { peer: daemon });
            }
        }
        for (const daemon of this.unresponsive) {
            if (!unresponsive.has(daemon)) {
                this.logger.write(LogLevel.Info, "peer_back", { peer: daemon });
            }
        }
        this.unresponsive = unresponsive;
    }
}
