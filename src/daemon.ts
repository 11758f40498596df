import type { Result } from "neverthrow";
import type { Failure } from "./core/failure.ts";
import type { DrainReport } from "./lifecycle/drain_report.ts";
import type { ReloadableSettings } from "./settings/reloadable_settings.ts";
import type { SettingsWatch } from "./settings/settings_watch.ts";

/** A daemon with all its components. */
export interface Daemon {
    /** Opens the ports, obtains configuration and instance list, and serves. Fails with PortUnavailable. */
    start(): Promise<Result<void, Failure>>;
    /** True while the daemon can serve callers. */
    isReady(): boolean;
    /** Creates a watch of the settings that can change while the daemon runs; start it with its `start`. */
    watchSettings(source: ReloadableSettings): SettingsWatch;
    /** Leaves the fleet without aborting a request; resolves when no work is left or the drain is late. */
    drain(cause: string): Promise<Result<DrainReport, Failure>>;
    /** Flushes and closes the connections within a time limit, before the process exits. */
    closeConnections(): Promise<void>;
    /** Writes the buffered log lines. */
    closeLog(): Promise<void>;
    /** Resolves when a drain has finished. */
    waitForClose(): Promise<void>;
    /** Stops immediately, without a drain. */
    close(): Promise<void>;
}
