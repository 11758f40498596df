import type { DaemonInfo } from "./daemon_info.ts";

/** The known daemons and their processes, as the gossip uses them. */
export interface DaemonTable {
    /** All daemons of the instance list by identifier. */
    getDaemons(): ReadonlyMap<string, DaemonInfo>;
    /** Version of the instance list. */
    getVersion(): number;
    /**
     * Takes note of the incarnation of a daemon that a message came from. A new one ends the leaving marks of
     * the process before it. A reply always comes from the process that now runs; a request may be late, so it
     * does not bring back an incarnation that was replaced.
     */
    recordIncarnation(daemonId: string, incarnation: string, isReply: boolean): void;
    /**
     * Takes note that a daemon and so all its upstreams are leaving. Returns false when this changes nothing,
     * also when the daemon has restarted since it had the incarnation.
     */
    setDaemonLeaving(daemonId: string, incarnation: string, cause: string): boolean;
    /**
     * Takes note that a process of a daemon has started, as others report it; ends the leaving marks of other
     * processes of the daemon. A report that is late ends a mark too early; the owner then refuses the work.
     */
    setDaemonStarted(daemonId: string, incarnation: string): void;
}
