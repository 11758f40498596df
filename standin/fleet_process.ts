import type { ProcessHandle } from "./process_handle.ts";

/** One process that a fleet started; a daemon that was started again has several. */
export interface FleetProcess {
    readonly name: string;
    readonly process: ProcessHandle;
}
