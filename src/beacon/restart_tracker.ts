import type { IncarnationReader } from "../membership/incarnation_reader.ts";

interface KnownIncarnation {
    readonly incarnation: string;
    readonly sinceMs: number;
}

/** Records when this daemon noticed that another daemon restarted. */
export class RestartTracker {
    private readonly known = new Map<string, KnownIncarnation>();

    constructor(private readonly incarnations: IncarnationReader) {}

    /** Monotonic milliseconds at which the last restart was noticed; `-Infinity` when there was none. */
    update(daemonId: string, nowMs: number): number {
        const incarnation = this.incarnations.getIncarnation(daemonId);
        const known = this.known.get(daemonId);
        if (incarnation === undefined || known?.incarnation === incarnation) {
            return known?.sinceMs ?? -Infinity;
        }
        const sinceMs = known === undefined ? -Infinity : nowMs;
        this.known.set(daemonId, { incarnation, sinceMs });
        return sinceMs;
    }

    /** Removes daemons that are no longer listed. */
    removeUnlisted(isListed: (daemonId: string) => boolean): void {
        for (const daemonId of [...this.known.keys()].filter(id => !isListed(id))) {
            this.known.delete(daemonId);
        }
    }
}
