import assert from "node:assert/strict";
import { test } from "node:test";
import { buildOwnerRequest } from "../../proof/fakes/build_owner_request.ts";
import { HeaderUpstreamCodec } from "./header_upstream_codec.ts";
import { UpstreamResultKind } from "./upstream_result_kind.ts";

test("a second copy of an earlier answer does not answer the next request on its connection", () => {
    const codec = new HeaderUpstreamCodec();
    const request = buildOwnerRequest({ requestId: "r2" });
    const decode = (headers: readonly { readonly name: string; readonly value: string; }[]) =>
        codec.decode(request, { status: 503, headers, body: new Uint8Array() }).kind;
    assert.equal(decode([{ name: "x-request-id", value: "r1" }]), UpstreamResultKind.Garbled);
    assert.equal(decode([{ name: "x-request-id", value: "r2" }]), UpstreamResultKind.Answered);
    assert.equal(decode([]), UpstreamResultKind.Answered, "the identifier is not required");
});
