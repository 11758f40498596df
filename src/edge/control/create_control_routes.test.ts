import { createClient, createRouterTransport } from "@connectrpc/connect";
import assert from "node:assert/strict";
import { test } from "node:test";
import { Control } from "../../gen/zinniaglade/v1/control_pb.ts";
import { createControlRoutes } from "./create_control_routes.ts";

// A time with a fraction makes the encoding of a whole number throw, and the other daemon would get no changes.
test("changes of the store are sent while a recovery ends in a fraction of a millisecond", async () => {
    const routes = createControlRoutes({
        identity: { ownerId: "d1", incarnation: "1" },
        revoker: { revoke: () => assert.fail("nothing is revoked") },
        gossip: undefined,
        storeChanges: {
            findChanges: ({ era, revision }) => ({
                revision: { era, revision: revision + 2 },
                items: ["a"],
                complete: false,
                recoveryMs: 299.25,
                tooLarge: true,
            }),
        },
    });
    const client = createClient(Control, createRouterTransport(routes));
    const { era, items, known, recoveryMs, revision, tooLarge } = await client.fetchStoreChanges({
        afterRevision: 5n,
        afterEra: 2,
    });
    assert.deepEqual({ items, known, recoveryMs }, { items: ["a"], known: true, recoveryMs: 300 });
    assert.deepEqual({ era, revision, tooLarge }, { era: 2, revision: 7n, tooLarge: true });
});
