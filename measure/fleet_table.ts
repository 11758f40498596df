import type { DaemonInfo } from "../src/membership/daemon_info.ts";
import type { DaemonTable } from "../src/membership/daemon_table.ts";

/** Daemon table over a fixed instance list shared by many tables, with its own set of leaving daemons. */
export class FleetTable implements DaemonTable {
    readonly leaving = new Set<string>();

    constructor(
        private readonly daemons: ReadonlyMap<string, DaemonInfo>,
        private readonly onLeaving: () => void,
    ) {}

    getDaemons(): ReadonlyMap<string, DaemonInfo> {
        return this.daemons;
    }

    getVersion(): number {
        return 1;
    }

    recordIncarnation(): void {}

    setDaemonStarted(): void {}

    setDaemonLeaving(daemonId: string): boolean {
        if (this.leaving.has(daemonId)) {
            return false;
        }
        this.leaving.add(daemonId);
        this.onLeaving();
        return true;
    }
}
