import { NumberType } from "../fields/number_type.ts";
import { RecordType } from "../fields/record_type.ts";
import type { HealthConfig } from "../health_config.ts";

const holdType = new NumberType({ minimum: 100, maximum: 600_000, integer: true });

/** Fields of `health`. */
export const healthType = new RecordType<HealthConfig>({
    falseAlarm: {
        type: new NumberType({ minimum: 1e-15, maximum: 0.1, integer: false }),
        unit: "probability",
        // The fleet completes about 1e10 requests a day, so larger values would raise false alarms daily.
        defaultValue: 1e-9,
        description:
            "Probability that one run of the sequential test raises an alarm for a healthy upstream.",
    },
    slowFactor: {
        type: new NumberType({ minimum: 1.1, maximum: 100, integer: false }),
        unit: "multiple",
        defaultValue: 3,
        description: "A response slower than this multiple of the baseline of the service's other upstreams "
            + "counts as bad.",
    },
    holdMinMs: {
        type: holdType,
        unit: "ms",
        defaultValue: 2_000,
        description:
            "Time that the first ejection of an upstream lasts; it doubles with each further ejection.",
    },
    holdMaxMs: {
        type: holdType,
        unit: "ms",
        defaultValue: 60_000,
        description: "Longest time that an ejection lasts. At least `holdMinMs`.",
    },
    rampMs: {
        type: new NumberType({ minimum: 0, maximum: 600_000, integer: true }),
        unit: "ms",
        defaultValue: 10_000,
        description: "Time in which a new or returned upstream reaches its full share of the requests.",
    },
});
