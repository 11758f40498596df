import assert from "node:assert/strict";
import { test } from "node:test";
import { SeededRandom } from "../../proof/fakes/seeded_random.ts";
import { VirtualTime } from "../../proof/fakes/virtual_time.ts";
import { Code } from "../core/code.ts";
import type { Upstream } from "../core/upstream.ts";
import { KeyIssuer } from "./key_issuer.ts";
import { KnownOwnerTable } from "./known_owner_table.ts";
import { parseKey } from "./parse_key.ts";

const upstreams: Upstream[] = ["a", "b"].map(name => {
    const place = { failureDomain: "z", region: "r", ownerAddress: name, leaving: false };
    return { id: `u-${name}`, service: "payments", ownerId: `d-${name}`, ...place };
});

function createIssuer(ejected: readonly string[] = []) {
    const time = new VirtualTime();
    const owners = new KnownOwnerTable({
        incarnations: { getIncarnation: () => undefined },
        identity: { ownerId: "d-0", incarnation: "i0" },
        clock: time,
        membership: { list: () => upstreams, getFirstSeenMs: () => 0, getVersion: () => 1 },
        preference: { isPreferred: upstream => !ejected.includes(upstream.id) },
    });
    const issuer = new KeyIssuer({ owners, clock: time, random: new SeededRandom(1) });
    return { time, owners, issuer };
}

function listOwners(issuer: KeyIssuer): Set<string> {
    const keys = Array.from({ length: 50 }, () => issuer.create("payments")._unsafeUnwrap());
    assert.equal(new Set(keys).size, keys.length);
    return new Set(keys.map(text => parseKey(text)._unsafeUnwrap().ownerId));
}

test("keys are issued only for owners of known incarnation, because an owner refuses keys of other ones", () => {
    const { owners, issuer } = createIssuer();
    assert.equal(issuer.create("payments")._unsafeUnwrapErr().code, Code.NoUpstream);
    owners.setIncarnation({ ownerId: "d-a", incarnation: "i1" });
    assert.deepEqual(listOwners(issuer), new Set(["d-a"]));
    owners.setIncarnation({ ownerId: "d-b", incarnation: "i2" });
    assert.deepEqual(listOwners(issuer), new Set(["d-a", "d-b"]));
});

test("keys avoid owners whose upstreams are all out of rotation, unless there is no other owner", () => {
    for (const [ejected, expected] of [[["u-a"], ["d-b"]], [["u-a", "u-b"], ["d-a", "d-b"]]]) {
        const { owners, issuer } = createIssuer(ejected);
        owners.setIncarnation({ ownerId: "d-a", incarnation: "i1" });
        owners.setIncarnation({ ownerId: "d-b", incarnation: "i2" });
        assert.deepEqual(listOwners(issuer), new Set(expected));
    }
});

test("keys avoid owners without recent contact, because a restarted owner answers old keys with unknown", () => {
    const { time, owners, issuer } = createIssuer();
    owners.setIncarnation({ ownerId: "d-a", incarnation: "i1" });
    time.addPause(10_001);
    assert.deepEqual(listOwners(issuer), new Set(["d-a"]));
    owners.setIncarnation({ ownerId: "d-b", incarnation: "i2" });
    assert.deepEqual(listOwners(issuer), new Set(["d-b"]));
});
