import type { DaemonState } from "./daemon_state.ts";

/** Provides the state of this daemon. */
export interface DaemonStateReader {
    getState(): DaemonState;
}
