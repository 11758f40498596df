import type { Result } from "neverthrow";
import type { Failure } from "./core/failure.ts";
import type { DrainReport } from "./lifecycle/drain_report.ts";
import type { ReloadableSettings } from "./settings/reloadable_settings.ts";
import type { SettingsWatch } from "./settings/settings_watch.ts";

/** A wired daemon. */
export interface Daemon {
    /** Opens the ports, learns configuration and instance list, and serves. Fails with PortUnavailable. */
    start(): Promise<Result<void, Failure>>;
    /** True while the daemon can serve callers. */
    isReady(): boolean;
    /** Watches settings that can change while the daemon runs; the caller starts the watch. */
    watchSettings(source: ReloadableSettings): SettingsWatch;
    /** Leaves the fleet without cutting a request; the result comes when no work is left. */
    drain(cause: string): Promise<Result<DrainReport, Failure>>;
    /** Sends what is waiting on connections and ends them, for a bounded time, before a process that ends now. */
    closeConnections(): Promise<void>;
    /** Writes the lines of the log that still wait. */
    closeLog(): Promise<void>;
    /** Resolves when a drain has finished. */
    waitForClose(): Promise<void>;
    /** Stops everything at once. */
    close(): Promise<void>;
}
