import type { DaemonInfo } from "../membership/daemon_info.ts";

interface Options {
    /** Daemons of the list; the same map until the list changes. */
    readonly getDaemons: () => ReadonlyMap<string, DaemonInfo>;
}

interface KnownDaemon {
    readonly info: DaemonInfo;
    /** Monotonic milliseconds since which the list lacks it; Infinity while it is listed. */
    missingSinceMs: number;
}

/** Milliseconds for which a daemon is known after it has left the list; an entry that expired returns within this. */
const maxMissingMs = 60_000;

/**
 * Daemons that are listed or were lately. The list names daemons by the entries of their upstreams, and an upstream
 * whose entry has expired says nothing about its daemon, which still serves callers.
 */
export class KnownDaemonTable {
    private daemons: ReadonlyMap<string, DaemonInfo> = new Map();
    private readonly known = new Map<string, KnownDaemon>();

    constructor(private readonly options: Options) {}

    find(daemonId: string, nowMs: number): DaemonInfo | undefined {
        this.update(nowMs);
        return this.known.get(daemonId)?.info;
    }

    /** Takes over a changed list. */
    update(nowMs: number): void {
        const daemons = this.options.getDaemons();
        if (daemons === this.daemons) {
            return;
        }
        this.daemons = daemons;
        for (const [id, info] of daemons) {
            this.known.set(id, { info, missingSinceMs: Infinity });
        }
        for (const [id, daemon] of this.known) {
            if (!daemons.has(id)) {
                daemon.missingSinceMs = Math.min(daemon.missingSinceMs, nowMs);
                if (nowMs - daemon.missingSinceMs > maxMissingMs) {
                    this.known.delete(id);
                }
            }
        }
    }
}
