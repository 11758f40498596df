import type { DaemonState } from "./daemon_state.ts";

/** Gives the state of this daemon. */
export interface DaemonStateReader {
    getState(): DaemonState;
}
