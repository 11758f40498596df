import type { UpstreamState } from "../core/upstream_state.ts";
import type { DaemonState } from "../lifecycle/daemon_state.ts";
import type { ServiceStatus } from "./service_status.ts";

/** Status of one daemon, as displayed by `zinniaglade show`. */
export interface DaemonStatus {
    readonly daemonId: string;
    readonly incarnation: string;
    readonly failureDomain: string;
    readonly region: string;
    readonly state: DaemonState;
    readonly requestsInFlight: number;
    /** Undefined until a configuration is in force. */
    readonly configuration:
        | { readonly version: number; readonly digest: string; readonly team: string; }
        | undefined;
    /** The last configuration that was rejected after the one in force was accepted. */
    readonly rejected:
        | { readonly version: number; readonly code: number; readonly detail: string; }
        | undefined;
    readonly instanceListVersion: number;
    readonly services: readonly ServiceStatus[];
    /** The upstreams that this daemon owns. */
    readonly owned: readonly UpstreamState[];
}
