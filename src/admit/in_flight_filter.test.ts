import assert from "node:assert/strict";
import { test } from "node:test";
import { RecordingSinks } from "../../proof/control/fakes/recording_sinks.ts";
import { buildOwnerRequest } from "../../proof/fakes/build_owner_request.ts";
import { VirtualTime } from "../../proof/fakes/virtual_time.ts";
import { MembershipTable } from "../membership/membership_table.ts";
import { ServiceTimes } from "../queue/service_times.ts";
import { InFlightFilter } from "./in_flight_filter.ts";
import { InFlightTable } from "./in_flight_table.ts";
import { SaturationTable } from "./saturation_table.ts";

// Review case 1: after 990 such requests a daemon refused others of the service with code 1005.
test("a request that ends with an error is not counted as in flight any more", async () => {
    const inFlight = new InFlightTable();
    const clock = new VirtualTime();
    const sinks = new RecordingSinks();
    const filter = new InFlightFilter({
        inFlight,
        saturation: new SaturationTable(
            clock,
            new MembershipTable({ clock, audit: sinks, logger: sinks, metrics: sinks }),
        ),
        serviceTimes: new ServiceTimes(),
        clock,
        inner: { apply: () => Promise.reject(new Error("cannot encode")) },
    });
    const request = { ...buildOwnerRequest(), host: "", path: "/", budgetMs: undefined, configVersion: 1 };
    await assert.rejects(async () => filter.apply(request), /cannot encode/);
    assert.equal(inFlight.getInFlight(request.service.name), 0);
});
