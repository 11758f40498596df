import { err, ok, type Result } from "neverthrow";
import assert from "node:assert/strict";
import { test } from "node:test";
import { FakeParser } from "../../proof/control/fakes/fake_parser.ts";
import { RecordingSinks } from "../../proof/control/fakes/recording_sinks.ts";
import { VirtualTime } from "../../proof/fakes/virtual_time.ts";
import { Code } from "../core/code.ts";
import { createFailure } from "../core/create_failure.ts";
import type { Failure } from "../core/failure.ts";
import { Pipeline } from "../core/pipeline.ts";
import { ActivateConfigFilter } from "../published/activate_config_filter.ts";
import { CheckConfigVersionFilter } from "../published/check_config_version_filter.ts";
import { computeDigest } from "../published/compute_digest.ts";
import { ConfigStore } from "../published/config_store.ts";
import { ParseConfigFilter } from "../published/parse_config_filter.ts";
import { ConfigurationDocument } from "./configuration_document.ts";
import { DocumentFetcher } from "./document_fetcher.ts";
import { DocumentName } from "./document_name.ts";
import type { SectionRequest } from "./section_request.ts";
import type { SectionResponse } from "./section_response.ts";

type Reply = (
    request: SectionRequest,
) => Result<SectionResponse, Failure> | Promise<Result<SectionResponse, Failure>>;

const peer = { id: "daemon-2", address: "10.0.0.2:7000" };
const splitter = { split: (source: string) => source.match(/.{1,2}/g) ?? [] };

async function createFixture(reply: Reply) {
    const sinks = new RecordingSinks();
    const time = new VirtualTime();
    const store = new ConfigStore({ audit: sinks, logger: sinks, metrics: sinks });
    const pipeline = Pipeline.start(new CheckConfigVersionFilter(store))
        .pipe(new ParseConfigFilter(store, new FakeParser()))
        .pipe(new ActivateConfigFilter(store));
    await pipeline.apply({ version: 1, digest: computeDigest("aabbcc"), source: "aabbcc", cause: "test" });
    const requests: SectionRequest[] = [];
    const control = {
        sendHeads: async () => err(createFailure(Code.PeerUnreachable)),
        fetchSections: async (_: string, request: SectionRequest) => {
            requests.push(request);
            return reply(request);
        },
    };
    const documents = [new ConfigurationDocument({ store, pipeline, splitter })];
    const fetcher = new DocumentFetcher({ control, documents, clock: time, logger: sinks, metrics: sinks });
    return { sinks, time, store, requests, fetcher };
}

function buildHead(version: number, source: string) {
    return { name: DocumentName.Configuration, version, digest: computeDigest(source) };
}

function buildReply(version: number, source: string, middle: string): Reply {
    return ({ baseVersion }) =>
        ok({
            head: buildHead(version, source),
            baseUnknown: false,
            pieces: baseVersion === 0
                ? [{ copyStart: 0, copyCount: 0, content: `aa${middle}cc` }]
                : [
                    { copyStart: 0, copyCount: 1, content: "" },
                    { copyStart: 0, copyCount: 0, content: middle },
                    { copyStart: 2, copyCount: 1, content: "" },
                ],
        });
}

test("a changed section is fetched and the complete document is accepted", async () => {
    const { store, requests, fetcher } = await createFixture(buildReply(2, "aaXXcc", "XX"));
    await fetcher.fetch(peer, buildHead(2, "aaXXcc"));
    assert.equal(store.getActive()?.source, "aaXXcc");
    assert.equal(requests.length, 1);
});

test("a damaged section leaves the active document unchanged and is reported", async () => {
    const { sinks, store, fetcher } = await createFixture(buildReply(2, "aaXXcc", "XY"));
    await fetcher.fetch(peer, buildHead(2, "aaXXcc"));
    assert.equal(store.getActive()?.source, "aabbcc");
    assert.deepEqual(sinks.listCodes("fetch_failed"), [Code.DocumentDigestMismatch]);
});

test("a reply with an older version than the peer announced is rejected", async () => {
    const { store, fetcher } = await createFixture(buildReply(2, "aaXXcc", "XX"));
    await fetcher.fetch(peer, buildHead(3, "aaYYcc"));
    assert.equal(store.getActive()?.version, 1);
});

test("a peer that no longer has the base receives its section digests in a second request", async () => {
    const known = buildReply(2, "aaXXcc", "XX");
    const { store, requests, fetcher } = await createFixture(request =>
        request.knownDigests.length > 0
            ? known(request)
            : ok({ head: buildHead(2, "aaXXcc"), baseUnknown: true, pieces: [] })
    );
    await fetcher.fetch(peer, buildHead(2, "aaXXcc"));
    assert.equal(store.getActive()?.version, 2);
    assert.deepEqual(requests.map(request => request.knownDigests.length), [0, 3]);
});

test("a configuration that was rejected as invalid is not fetched again each second", async () => {
    const { store, requests, fetcher } = await createFixture(buildReply(2, "aainvalidcc", "invalid"));
    await fetcher.fetch(peer, buildHead(2, "aainvalidcc"));
    await fetcher.fetch(peer, buildHead(2, "aainvalidcc"));
    assert.equal(store.getRejected()?.version, 2);
    assert.equal(requests.length, 1);
});

test("of the heads that arrive during a fetch, the newest is fetched next", async () => {
    let reply = buildReply(2, "aaXXcc", "XX");
    const { store, requests, fetcher } = await createFixture(request => reply(request));
    const first = fetcher.fetch(peer, buildHead(2, "aaXXcc"));
    await Promise.resolve();
    await Promise.resolve();
    reply = buildReply(4, "aaZZcc", "ZZ");
    await Promise.all([
        first,
        fetcher.fetch(peer, buildHead(3, "aaYYcc")),
        fetcher.fetch(peer, buildHead(4, "aaZZcc")),
    ]);
    assert.equal(store.getActive()?.version, 4);
    assert.equal(requests.length, 2);
});

test("a peer that does not reply does not delay the fetch from another peer", async () => {
    const answer = buildReply(2, "aaXXcc", "XX");
    const replies: Reply[] = [() => new Promise(() => {}), answer];
    const { time, store, fetcher } = await createFixture(request => replies.shift()!(request));
    void fetcher.fetch(peer, buildHead(2, "aaXXcc"));
    await time.run(1_000);
    await fetcher.fetch({ id: "daemon-3", address: "10.0.0.3:7000" }, buildHead(2, "aaXXcc"));
    assert.equal(store.getActive()?.version, 2);
});
