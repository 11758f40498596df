import { BinaryWriter, WireType } from "@bufbuild/protobuf/wire";
import { LinkFrameSchema, LinkPieceSchema } from "../../gen/zinniaglade/v1/control_pb.ts";

/**
 * Encodes a piece frame up to its `length` bytes, which follow. They are written from the body itself, so that a
 * large body is not copied.
 */
export function encodePieceHead(id: number, length: number): Uint8Array {
    const inner = new BinaryWriter().tag(LinkPieceSchema.field.bytes.number, WireType.LengthDelimited)
        .uint32(length).finish();
    const outer = new BinaryWriter().tag(LinkFrameSchema.field.id.number, WireType.Varint).uint32(id)
        .tag(LinkFrameSchema.field.piece.number, WireType.LengthDelimited).uint32(inner.length + length)
        .finish();
    return Buffer.concat([
        new BinaryWriter().uint32(outer.length + inner.length + length).finish(),
        outer,
        inner,
    ]);
}
