import type { DaemonInfo } from "./daemon_info.ts";

/** The known daemons and the incarnations of their processes. */
export interface DaemonTable {
    /** All daemons of the instance list by identifier. */
    getDaemons(): ReadonlyMap<string, DaemonInfo>;
    /** Version of the instance list. */
    getVersion(): number;
    /**
     * Records the incarnation of the daemon that sent a message. A new incarnation ends the leaving reports
     * about the previous process. A reply always comes from the process that is running now; a request may be
     * delayed, so it does not restore an incarnation that was replaced.
     */
    recordIncarnation(daemonId: string, incarnation: string, isReply: boolean): void;
    /**
     * Records that a daemon, and therefore all its upstreams, are leaving. Returns false when this was
     * already known or the daemon has restarted since this incarnation.
     */
    setDaemonLeaving(daemonId: string, incarnation: string, cause: string): boolean;
    /**
     * Records that a process of a daemon has started, as reported by other daemons. Ends the leaving reports
     * about other processes of the daemon. A delayed notice may end one too early; the owner then refuses the
     * work.
     */
    setDaemonStarted(daemonId: string, incarnation: string): void;
}
