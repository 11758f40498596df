/**
 * Measures the scaling slopes from which docs/CAPACITY.md derives the capacity at the target scale.
 *
 * Usage: `npm run measure:capacity [-- NAME...]`; names select measurements, the default is all.
 *
 * @module
 */
import { Pipeline } from "../src/core/pipeline.ts";
import { ConfigurationMeasurement } from "./capacity/configuration_measurement.ts";
import { DispatchHeadMeasurement } from "./capacity/dispatch_head_measurement.ts";
import { FitFilter } from "./capacity/fit_filter.ts";
import { FormatFilter } from "./capacity/format_filter.ts";
import { HeadExchangeMeasurement } from "./capacity/head_exchange_measurement.ts";
import { IdleConnectionMeasurement } from "./capacity/idle_connection_measurement.ts";
import { LibraryMeasurement } from "./capacity/library_measurement.ts";
import { LoopbackMeasurement } from "./capacity/loopback_measurement.ts";
import { MembershipMeasurement } from "./capacity/membership_measurement.ts";
import { OperationMeasurement } from "./capacity/operation_measurement.ts";
import { PlatformReadMeasurement } from "./capacity/platform_read_measurement.ts";
import { PlatformWatchMeasurement } from "./capacity/platform_watch_measurement.ts";
import { QueueMeasurement } from "./capacity/queue_measurement.ts";
import { ReplyHeadMeasurement } from "./capacity/reply_head_measurement.ts";
import { SampleFilter } from "./capacity/sample_filter.ts";
import { SectionFetchMeasurement } from "./capacity/section_fetch_measurement.ts";
import { SeenServicesMeasurement } from "./capacity/seen_services_measurement.ts";
import { SelectorMeasurement } from "./capacity/selector_measurement.ts";
import type { SlopeMeasurement } from "./capacity/slope_measurement.ts";
import { SubsetMeasurement } from "./capacity/subset_measurement.ts";

const runs = 5;
const names = process.argv.slice(2);
const measurements: readonly SlopeMeasurement[] = [
    new ConfigurationMeasurement(),
    new MembershipMeasurement(),
    new SelectorMeasurement(),
    new SeenServicesMeasurement(),
    new QueueMeasurement(),
    new OperationMeasurement(),
    new HeadExchangeMeasurement(),
    new SectionFetchMeasurement(),
    new ReplyHeadMeasurement(),
    new DispatchHeadMeasurement(),
    new LoopbackMeasurement(),
    new IdleConnectionMeasurement(),
    new PlatformWatchMeasurement(),
    new PlatformReadMeasurement(),
];

const pipeline = Pipeline.start(new SampleFilter(runs)).pipe(new FitFilter()).pipe(new FormatFilter());
for (const measurement of measurements) {
    if (names.length === 0 || names.includes(measurement.name)) {
        const lines = await pipeline.apply(measurement);
        console.log(lines._unsafeUnwrap().join("\n"));
    }
}

for (const measurement of [new SubsetMeasurement(), new LibraryMeasurement()]) {
    if (names.length === 0 || names.includes(measurement.name)) {
        console.log(measurement.measure().join("\n"));
    }
}
