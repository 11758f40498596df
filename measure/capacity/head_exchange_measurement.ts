import { create, fromBinary, toBinary } from "@bufbuild/protobuf";
import { decodeHeadExchange } from "../../src/edge/control/decode_head_exchange.ts";
import { encodeHeadExchange } from "../../src/edge/control/encode_head_exchange.ts";
import { ExchangeHeadsRequestSchema } from "../../src/gen/zinniaglade/v1/control_pb.ts";
import { DocumentName } from "../../src/gossip/document_name.ts";
import type { HeadExchange } from "../../src/gossip/head_exchange.ts";
import { measureProcessorUs } from "./measure_processor_us.ts";
import type { SlopeMeasurement } from "./slope_measurement.ts";

const rounds = 500;

/** Message of a head exchange by the number of leaving notices in it. */
export class HeadExchangeMeasurement implements SlopeMeasurement {
    readonly name = "Head exchange";
    readonly sizeUnit = "leaving notices";
    readonly sizes = [0, 16, 64, 128];
    readonly target = 64;

    async measure(count: number): Promise<Readonly<Record<string, number>>> {
        const exchange: HeadExchange = {
            daemonId: "daemon-1799",
            incarnation: "5f3759df18c2a4b7e31",
            heads: Object.values(DocumentName).map(name => ({
                name,
                version: 1_234_567,
                digest: "0".repeat(64),
            })),
            notices: Array.from({ length: count }, (_, index) => ({
                daemonId: `daemon-${1_000 + index}`,
                incarnation: "5f3759df18c2a4b7e31",
                leaving: true,
            })),
            platformAgeMs: 400,
            rejected: undefined,
        };
        const encode = () =>
            toBinary(
                ExchangeHeadsRequestSchema,
                create(ExchangeHeadsRequestSchema, { exchange: encodeHeadExchange(exchange) }),
            );
        const binary = encode();
        const encodeUs = await measureProcessorUs(() => {
            for (let round = 0; round < rounds; round += 1) {
                encode();
            }
        });
        const decodeUs = await measureProcessorUs(() => {
            for (let round = 0; round < rounds; round += 1) {
                decodeHeadExchange(fromBinary(ExchangeHeadsRequestSchema, binary).exchange);
            }
        });
        return {
            "message, bytes": binary.length,
            "encode, processor µs": encodeUs / rounds,
            "decode, processor µs": decodeUs / rounds,
        };
    }
}
