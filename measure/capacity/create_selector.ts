import { SeededRandom } from "../../proof/fakes/seeded_random.ts";
import type { VirtualTime } from "../../proof/fakes/virtual_time.ts";
import type { Upstream } from "../../src/core/upstream.ts";
import { HealthScoreTable } from "../../src/health/health_score_table.ts";
import { MembershipTable } from "../../src/membership/membership_table.ts";
import { PowerOfTwoSelector } from "../../src/select/power_of_two_selector.ts";
import { NullSinks } from "./null_sinks.ts";

/** Selector of a daemon in the first failure domain that knows `upstreams`. */
export function createSelector(upstreams: readonly Upstream[], time: VirtualTime): PowerOfTwoSelector {
    const sinks = new NullSinks();
    const membership = new MembershipTable({ clock: time, audit: sinks, logger: sinks, metrics: sinks });
    membership.merge({ version: 1, upstreams }, "1", "peer")._unsafeUnwrap();
    return new PowerOfTwoSelector({
        clock: time,
        random: new SeededRandom(1),
        membership,
        leaving: membership,
        audit: sinks,
        scoreTable: new HealthScoreTable(),
        failureDomain: "region-0-zone-0",
        region: "region-0",
    });
}
