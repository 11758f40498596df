/**
 * Fetches a newer document from a peer, section by section, and accepts it only as a whole.
 *
 * @example
 * ```ts
 * const fetcher = new DocumentFetcher({ control, documents, clock, logger, metrics });
 * await fetcher.fetch({ id: "daemon-2", address: "10.0.0.2:7000" }, head);
 * ```
 *
 * @module
 */
import { err, ok, type Result } from "neverthrow";
import type { Clock } from "../core/clock.ts";
import { Code } from "../core/code.ts";
import { createFailure } from "../core/create_failure.ts";
import type { Failure } from "../core/failure.ts";
import { LogLevel } from "../core/log_level.ts";
import type { Logger } from "../core/logger.ts";
import type { Metrics } from "../core/metrics.ts";
import { computeDigest } from "../published/compute_digest.ts";
import { compareHeads } from "./compare_heads.ts";
import type { DocumentHead } from "./document_head.ts";
import type { DocumentName } from "./document_name.ts";
import type { GossipDocument } from "./gossip_document.ts";
import { HeadOrder } from "./head_order.ts";
import { mergePieces } from "./merge_pieces.ts";
import type { Peer } from "./peer.ts";
import type { PeerControlClient } from "./peer_control_client.ts";
import type { Section } from "./section.ts";

interface Options {
    readonly control: PeerControlClient;
    readonly documents: readonly GossipDocument[];
    readonly clock: Clock;
    readonly logger: Logger;
    readonly metrics: Metrics;
    /** Milliseconds after which another peer is asked as well; the default is 1 s. */
    readonly overdueAfterMs?: number;
    /** Time limit of one message in milliseconds; the default is 5 s. */
    readonly timeoutMs?: number;
}

interface FetchedDocument {
    readonly head: DocumentHead;
    readonly contents: readonly string[];
}

interface FetchTarget {
    readonly peer: Peer;
    readonly head: DocumentHead;
}

/** Largest number of concurrent fetches of one document. */
const maxConcurrentRuns = 3;
const noBase: readonly Section[] = [];

/** A fetch in progress. */
interface FetchRun {
    /** Monotonic milliseconds at which the fetch of its current head began. */
    startMs: number;
    done: Promise<void>;
}

/**
 * Runs one fetch of each document at a time; of the heads that arrive meanwhile, the newest is fetched next.
 * While a peer does not reply, for example over a link that fails in one direction, up to two other peers are
 * asked as well.
 */
export class DocumentFetcher {
    private readonly runs = new Map<DocumentName, Set<FetchRun>>();
    private readonly pendingTargets = new Map<DocumentName, FetchTarget>();
    /** For each document, the last head whose content the control pipeline rejected. */
    private readonly refusedHeads = new Map<DocumentName, string>();

    constructor(private readonly options: Options) {}

    /** Resolves when this version or a newer one has been fetched, or the fetch has failed. */
    fetch(peer: Peer, head: DocumentHead): Promise<void> {
        const document = this.options.documents.find(candidate => candidate.name === head.name);
        if (document === undefined || this.isRefused(head)) {
            return Promise.resolve();
        }
        const pending = this.pendingTargets.get(head.name);
        if (pending === undefined || pending.head.version <= head.version) {
            this.pendingTargets.set(head.name, { peer, head });
        }
        const runs = this.runs.get(head.name) ?? new Set();
        this.runs.set(head.name, runs);
        const nowMs = this.options.clock.getMonotonicMs();
        const recentRun = [...runs].find(run => nowMs - run.startMs < (this.options.overdueAfterMs ?? 1_000));
        if (recentRun !== undefined || runs.size >= maxConcurrentRuns) {
            return (recentRun ?? [...runs][0]!).done;
        }
        const run: FetchRun = { startMs: nowMs, done: Promise.resolve() };
        runs.add(run);
        run.done = this.run(document, run, runs);
        return run.done;
    }

    private async run(document: GossipDocument, run: FetchRun, runs: Set<FetchRun>): Promise<void> {
        const { name } = document;
        for (
            let target = this.pendingTargets.get(name);
            target !== undefined;
            target = this.pendingTargets.get(name)
        ) {
            this.pendingTargets.delete(name);
            if (compareHeads(document.getHead(), target.head) !== HeadOrder.Newer) {
                continue;
            }
            run.startMs = this.options.clock.getMonotonicMs();
            const result = await this.fetchOnce(document, target);
            if (result.isErr()) {
                const { code, detail } = result.error;
                const fields = { document: name, code, detail, peer: target.peer.address };
                this.options.logger.write(LogLevel.Warn, "fetch_failed", fields);
                this.options.metrics.addCount("gossip.fetch_failed", { document: name, code: `${code}` });
            }
        }
        // Follows the last check of `pendingTargets` without an await, so that a head that arrives later
        // starts a new run.
        runs.delete(run);
    }

    private async fetchOnce(document: GossipDocument, target: FetchTarget): Promise<Result<void, Failure>> {
        const base = document.getSections();
        let fetched = await this.fetchWithBase(document, target, base);
        if (fetched.isErr() && fetched.error.code === Code.DocumentDigestMismatch && base.length > 0) {
            // Short section digests can collide; a transfer without a base does not use them.
            fetched = await this.fetchWithBase(document, target, noBase);
        }
        if (fetched.isErr()) {
            return err(fetched.error);
        }
        const { head, contents } = fetched.value;
        const updated = await document.update(
            head,
            contents,
            `peer ${target.peer.id ?? target.peer.address}`,
        );
        if (updated.isErr()) {
            this.refusedHeads.set(head.name, formatHead(head));
            return err(updated.error);
        }
        return ok(undefined);
    }

    private async fetchWithBase(
        document: GossipDocument,
        target: FetchTarget,
        base: readonly Section[],
    ): Promise<Result<FetchedDocument, Failure>> {
        const own = document.getHead();
        const request = {
            document: document.name,
            baseVersion: base.length === 0 ? 0 : own.version,
            baseDigest: base.length === 0 ? "" : own.digest,
            knownDigests: [] as readonly string[],
        };
        const { control, timeoutMs = 5_000 } = this.options;
        let response = await control.fetchSections(target.peer.address, request, timeoutMs);
        if (response.isOk() && response.value.baseUnknown) {
            const knownDigests = base.map(section => section.digest);
            response = await control.fetchSections(
                target.peer.address,
                { ...request, knownDigests },
                timeoutMs,
            );
        }
        if (response.isErr()) {
            return err(response.error);
        }
        const { head, pieces } = response.value;
        const contents = mergePieces(base, pieces);
        const isComplete = contents !== undefined && computeDigest(contents.join("")) === head.digest;
        if (!isComplete || head.name !== document.name || head.version < target.head.version) {
            const detail = `version ${head.version} of ${head.name} from ${target.peer.address} `
                + "is damaged or older than announced";
            return err(createFailure(Code.DocumentDigestMismatch, { detail }));
        }
        return ok({ head, contents });
    }

    private isRefused(head: DocumentHead): boolean {
        return this.refusedHeads.get(head.name) === formatHead(head);
    }
}

function formatHead(head: DocumentHead): string {
    return `${head.version} ${head.digest}`;
}
