import { fromBinary, toBinary } from "@bufbuild/protobuf";
import { decodeReply } from "../../src/edge/peer_link/decode_reply.ts";
import { encodeReply } from "../../src/edge/peer_link/encode_reply.ts";
import { ReplyHeadSchema } from "../../src/gen/zinniaglade/v1/control_pb.ts";
import { createOwnerReply } from "./create_owner_reply.ts";
import { measureProcessorUs } from "./measure_processor_us.ts";
import type { SlopeMeasurement } from "./slope_measurement.ts";

const rounds = 1_000;
const noBody = new Uint8Array();

/** Head of a reply by the number of health reports in it. */
export class ReplyHeadMeasurement implements SlopeMeasurement {
    readonly name = "Reply head";
    readonly sizeUnit = "health reports";
    readonly sizes = [0, 2, 4, 8];
    readonly target = 8;

    async measure(count: number): Promise<Readonly<Record<string, number>>> {
        const reply = createOwnerReply(1, 0, count);
        const withoutAnswer = toBinary(
            ReplyHeadSchema,
            encodeReply({ ...reply, answer: undefined, upstream: undefined }),
        );
        const encoded = toBinary(ReplyHeadSchema, encodeReply(reply));
        const encodeUs = await measureProcessorUs(() => {
            for (let round = 0; round < rounds; round += 1) {
                toBinary(ReplyHeadSchema, encodeReply(reply));
            }
        });
        const decodeUs = await measureProcessorUs(() => {
            for (let round = 0; round < rounds; round += 1) {
                decodeReply(fromBinary(ReplyHeadSchema, encoded), noBody)._unsafeUnwrap();
            }
        });
        return {
            "head, bytes": encoded.length,
            "head without queue state and answer, bytes": withoutAnswer.length,
            "encode, processor µs": encodeUs / rounds,
            "decode, processor µs": decodeUs / rounds,
        };
    }
}
