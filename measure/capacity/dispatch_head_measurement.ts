import { fromBinary, toBinary } from "@bufbuild/protobuf";
import { decodeDispatch } from "../../src/edge/peer_link/decode_dispatch.ts";
import { encodeDispatch } from "../../src/edge/peer_link/encode_dispatch.ts";
import { DispatchHeadSchema } from "../../src/gen/zinniaglade/v1/control_pb.ts";
import { buildTargetUpstreams } from "./build_target_upstreams.ts";
import { createRoutedRequest } from "./create_routed_request.ts";
import { measureProcessorUs } from "./measure_processor_us.ts";
import type { SlopeMeasurement } from "./slope_measurement.ts";

const rounds = 1_000;
const noBody = new Uint8Array();
const { signal } = new AbortController();

/** Head of a dispatch by the number of caller headers (11 and 24 characters) that it carries. */
export class DispatchHeadMeasurement implements SlopeMeasurement {
    readonly name = "Dispatch head";
    readonly sizeUnit = "caller headers";
    readonly sizes = [0, 5, 10, 20];
    readonly target = 10;

    async measure(count: number): Promise<Readonly<Record<string, number>>> {
        const headers = Array.from(
            { length: count },
            (_, index) => ({ name: `x-header-${10 + index}`, value: "v".repeat(24) }),
        );
        const request = {
            ...createRoutedRequest(1, undefined, headers),
            attempt: 1,
            upstream: buildTargetUpstreams(1)[0]!,
            baselineMs: 61.25,
            trial: false,
            ownerIncarnation: "5f3759df18c2a4b7e31",
        };
        const encoded = toBinary(DispatchHeadSchema, encodeDispatch(request, 50));
        const encodeUs = await measureProcessorUs(() => {
            for (let round = 0; round < rounds; round += 1) {
                toBinary(DispatchHeadSchema, encodeDispatch(request, 50));
            }
        });
        const decodeUs = await measureProcessorUs(() => {
            for (let round = 0; round < rounds; round += 1) {
                decodeDispatch(fromBinary(DispatchHeadSchema, encoded), noBody, signal);
            }
        });
        return {
            "head, bytes": encoded.length,
            "encode, processor µs": encodeUs / rounds,
            "decode, processor µs": decodeUs / rounds,
        };
    }
}
