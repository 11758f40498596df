/**
 * Measures how fast the gossip spreads a change in a fleet of 1,800 daemons, and the bytes that it transfers.
 * Message sizes are computed; clocks, timers and links are virtual.
 *
 * @example
 * ```sh
 * node --import tsx measure/spread.ts 3 1,2
 * ```
 *
 * @module
 */
import { computeControlBytes } from "./compute_control_bytes.ts";
import { SpreadFleet } from "./spread_fleet.ts";

const seeds = Array.from({ length: Number(process.argv[2] ?? 3) }, (_, index) => index + 1);
const base = { daemons: 1_800, domains: 31, regions: 8, localShare: 0.75, lostShare: 0 };
/** Peers that each daemon contacts in a gossip round (second argument). */
const peers = (process.argv[3] ?? "1,2,3").split(",").map(Number);

for (const peersPerRound of peers) {
    for (const [name, options] of [["all links", {}], ["1 of 10 links lost", { lostShare: 0.1 }]] as const) {
        const spreads: number[] = [];
        const notices: number[] = [];
        let reached = Infinity;
        for (const seed of seeds) {
            const spread = await new SpreadFleet({ ...base, ...options, seed, peersPerRound })
                .measureSpread();
            const notice = await new SpreadFleet({ ...base, ...options, seed, peersPerRound })
                .measureNotice();
            spreads.push(spread.spreadMs);
            notices.push(notice.spreadMs);
            reached = Math.min(reached, spread.reached, notice.reached);
        }
        const idle = await new SpreadFleet({ ...base, ...options, seed: 1, peersPerRound })
            .measureIdleBytes();
        console.log(
            `${peersPerRound} peers a round, ${name}: all daemons reached ${
                reached === base.daemons ? "yes" : reached
            }, `
                + `change ${formatSeconds(spreads)} s (target 16 s), leaving notice ${
                    formatSeconds(notices)
                } s, `
                + `${(computeControlBytes(idle) / 1_000).toFixed(2)} KB/s (target 6 KB/s), `
                + `of these ${(idle / 1_000).toFixed(2)} KB/s without changes but with notices of the start`,
        );
    }
}

function formatSeconds(values: readonly number[]): string {
    return `${(Math.min(...values) / 1_000).toFixed(1)} to ${(Math.max(...values) / 1_000).toFixed(1)}`;
}
