import { create, type MessageInitShape } from "@bufbuild/protobuf";
import { sizeDelimitedEncode } from "@bufbuild/protobuf/wire";
import { fromThrowable } from "neverthrow";
import { Code } from "../../core/code.ts";
import { createFailure } from "../../core/create_failure.ts";
import { LinkFrameSchema } from "../../gen/zinniaglade/v1/control_pb.ts";

/** Encodes a frame with its length. Fails with AttemptNotEncodable when a value does not fit its field. */
export const encodeFrame = fromThrowable(
    (frame: MessageInitShape<typeof LinkFrameSchema>): Uint8Array =>
        sizeDelimitedEncode(LinkFrameSchema, create(LinkFrameSchema, frame)),
    error => createFailure(Code.AttemptNotEncodable, { detail: String(error) }),
);
