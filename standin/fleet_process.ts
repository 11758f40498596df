import type { ProcessHandle } from "./process_handle.ts";

/** One process that a fleet started; a restarted daemon has one entry per start. */
export interface FleetProcess {
    readonly name: string;
    readonly process: ProcessHandle;
}
