import { NumberType } from "../fields/number_type.ts";
import { RecordType } from "../fields/record_type.ts";
import type { LimitsConfig } from "../limits_config.ts";

const percentType = new NumberType({ minimum: 0, maximum: 100, integer: true });

/** Fields of `limits`. */
export const limitsType = new RecordType<LimitsConfig>({
    queueLength: {
        type: new NumberType({ minimum: 1, maximum: 10_000, integer: true }),
        unit: "requests",
        defaultValue: 64,
        description: "Requests that may wait for one upstream. Further requests are refused as not executed.",
    },
    reserveShort: {
        type: new NumberType({ minimum: 0, maximum: 1_000, integer: true }),
        unit: "slots",
        defaultValue: 1,
        description: "Slots of each upstream that long work never uses.",
    },
    targetWaitMs: {
        type: new NumberType({ minimum: 1, maximum: 60_000, integer: true }),
        unit: "ms",
        defaultValue: 100,
        description:
            "Queueing time that the queue of an upstream aims to stay below; above it, work is shed.",
    },
    organisationPercent: {
        type: new NumberType({ minimum: 1, maximum: 100, integer: true }),
        unit: "percent",
        defaultValue: 50,
        description: "Share of the queue of one upstream that one organisation may hold.",
    },
    retryPercent: {
        type: percentType,
        unit: "percent",
        defaultValue: 10,
        description: "Retries that an entry daemon may send, as a share of its recent first attempts.",
    },
    entryConcurrency: {
        type: new NumberType({ minimum: 1, maximum: 100_000, integer: true }),
        unit: "requests",
        defaultValue: 1_000,
        description: "Requests for the service that one entry daemon may have in flight.",
    },
});
