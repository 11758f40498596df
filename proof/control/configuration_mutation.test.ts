import { err } from "neverthrow";
import assert from "node:assert/strict";
import { test } from "node:test";
import { Code } from "../../src/core/code.ts";
import { createFailure } from "../../src/core/create_failure.ts";
import { computeDigest } from "../../src/published/compute_digest.ts";
import { checkHistory } from "../check_history.ts";
import { ConfigMonotonicPredicate } from "../predicates/config_monotonic_predicate.ts";
import { ConfigSpreadPredicate } from "../predicates/config_spread_predicate.ts";
import { ConfigFleet } from "./fakes/config_fleet.ts";
import { createCorruptingClient } from "./fakes/create_corrupting_client.ts";
import { LenientConfigStore } from "./fakes/lenient_config_store.ts";

const predicates = [new ConfigMonotonicPredicate(), new ConfigSpreadPredicate(16_000)];

/** Mutations of the daemon, and the predicate that must detect them in the runs of configuration.test.ts. */
const mutations: readonly {
    readonly name: string;
    readonly predicate: string;
    readonly options: Omit<ConstructorParameters<typeof ConfigFleet>[0], "seed">;
}[] = [
    {
        name: "a store that accepts older versions",
        predicate: "config-monotonic",
        options: { mutation: { createStore: sinks => new LenientConfigStore(sinks) } },
    },
    {
        name: "a watch that does not retry",
        predicate: "config-spread",
        options: { mutation: { backoffMinMs: 1_000_000_000 } },
    },
    {
        name: "gossip that fetches no sections",
        predicate: "config-spread",
        options: {
            createControl: control => ({
                sendHeads: (address, message, timeoutMs) => control.sendHeads(address, message, timeoutMs),
                fetchSections: async () => err(createFailure(Code.PeerTimeout)),
            }),
        },
    },
    {
        name: "missing verification of the document digest",
        predicate: "config-monotonic",
        options: {
            // A head whose digest matches the corrupted sections is equivalent to a fetcher that does not
            // compare digests.
            createControl: control =>
                createCorruptingClient(control, response => {
                    const digest = computeDigest(response.pieces.map(piece => piece.content).join(""));
                    return { ...response, head: { ...response.head, digest } };
                }),
        },
    },
];

for (const { name, predicate, options } of mutations) {
    test(`the predicates detect ${name}`, async () => {
        const names = new Set<string>();
        for (let seed = 1; seed <= 12 && !names.has(predicate); seed++) {
            const history = await new ConfigFleet({ seed, ...options }).run(240_000);
            for (const violation of checkHistory(history, predicates)) {
                names.add(violation.predicate);
            }
        }
        assert.ok(names.has(predicate));
    });
}
