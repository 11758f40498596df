import fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import { createRevocationFaultsArbitrary } from "./create_revocation_faults_arbitrary.ts";
import { RevocationFleet } from "./fakes/revocation_fleet.ts";

const faults = createRevocationFaultsArbitrary();
const seed = 28;
const runs = 60;

test("no request runs with a key that was removed longer ago than the bound, and none in touch is refused", async () => {
    const property = fc.asyncProperty(fc.nat(1_000_000), faults, async (runSeed, schedule) => {
        assert.deepEqual(await new RevocationFleet({ seed: runSeed, faults: schedule }).run(), {
            late: [],
            refused: [],
        });
    });
    await fc.assert(property, { seed, numRuns: runs });
});

type Mutation = Pick<ConstructorParameters<typeof RevocationFleet>[0], "mutate" | "mutateBeacon">;

const mutations: readonly { readonly name: string; readonly mutation: Mutation; }[] = [
    {
        name: "a proof of another daemon that counts from its arrival",
        mutation: {
            mutateBeacon: ({ follower, process }, { claim }) => {
                if (claim !== undefined) {
                    const provedMs = process.clock.getMonotonicMs() - claim.ageMs;
                    follower.proof.recordClaim({ version: claim.version, provedMs });
                }
            },
        },
    },
    {
        name: "a proof of another daemon about a version that is not in force here",
        mutation: {
            mutate: ({ follower }) => {
                const recordClaim = follower.proof.recordClaim.bind(follower.proof);
                follower.proof.recordClaim = ({ provedMs }) => recordClaim({ version: 0, provedMs });
            },
        },
    },
];

for (const { name, mutation } of mutations) {
    test(`the check notices ${name}`, async () => {
        for (
            const [runSeed, schedule] of fc.sample(fc.tuple(fc.nat(1_000_000), faults), {
                seed,
                numRuns: 200,
            })
        ) {
            const { late } = await new RevocationFleet({ seed: runSeed, faults: schedule, ...mutation })
                .run();
            if (late.length > 0) {
                return;
            }
        }
        assert.fail("no run shows the mutation");
    });
}
