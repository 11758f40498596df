import { ConnectionPhase } from "./connection_phase.ts";

/**
 * Selects the connection to close when there are too many: the oldest one of the lowest phase, so that clients which
 * open connections without using them displace each other. Undefined when a request runs on each.
 */
export function selectSurplusConnection<Connection extends { getPhase(): ConnectionPhase; }>(
    connections: Iterable<Connection>,
): Connection | undefined {
    let surplus: Connection | undefined;
    let leastPhase: ConnectionPhase = ConnectionPhase.Running;
    for (const connection of connections) {
        const phase = connection.getPhase();
        if (phase < leastPhase) {
            surplus = connection;
            leastPhase = phase;
        }
    }
    return surplus;
}
