import { err, ok, type Result } from "neverthrow";
import { Code } from "../core/code.ts";
import type { Failure } from "../core/failure.ts";
import type { Filter } from "../core/filter.ts";
import { LogLevel } from "../core/log_level.ts";
import type { Logger } from "../core/logger.ts";
import type { Metrics } from "../core/metrics.ts";
import type { Upstream } from "../core/upstream.ts";
import type { MembershipTable } from "../membership/membership_table.ts";
import type { InstanceCandidate } from "../published/instance_candidate.ts";
import type { InstanceList } from "../published/instance_list.ts";
import type { InstanceListCodec } from "../published/instance_list_codec.ts";
import type { DocumentHead } from "./document_head.ts";
import { DocumentName } from "./document_name.ts";
import type { GossipDocument } from "./gossip_document.ts";
import type { Section } from "./section.ts";
import { SectionHistory } from "./section_history.ts";

interface Options {
    readonly membership: MembershipTable;
    /** Validates and merges a list. */
    readonly pipeline: Filter<InstanceCandidate, unknown>;
    readonly codec: InstanceListCodec;
    readonly logger: Logger;
    readonly metrics: Metrics;
}

interface ReceivedDocument {
    readonly version: number;
    readonly digest: string;
    /** Upstreams by the content of their section, in the order of the sections. */
    readonly decoded: ReadonlyMap<string, readonly Upstream[]>;
}

/** Exposes the active instance list as a gossip document. */
export class InstanceListDocument implements GossipDocument {
    readonly name = DocumentName.Instances;
    private readonly history = new SectionHistory();
    /** The last conflict that was reported; each is reported once. */
    private conflict = "";
    /** Upstreams of the active version, by the content of their section. */
    private decoded: ReadonlyMap<string, readonly Upstream[]> = new Map();
    /** The last document from a peer, until its version is active. */
    private received: ReceivedDocument | undefined;

    constructor(private readonly options: Options) {}

    getHead(): DocumentHead {
        const { list, digest } = this.options.membership.getList();
        if (list.version !== this.history.getVersion()) {
            this.updateHistory(list, digest);
        }
        return { name: this.name, version: list.version, digest };
    }

    getSections(): readonly Section[] {
        this.getHead();
        return this.history.getSections();
    }

    findBase(version: number, digest: string): readonly string[] | undefined {
        return this.history.findBase(version, digest);
    }

    async update(
        head: DocumentHead,
        contents: readonly string[],
        cause: string,
    ): Promise<Result<unknown, Failure>> {
        const decoded = new Map<string, readonly Upstream[]>();
        for (const content of contents) {
            // Unchanged sections yield the same objects as before, which the membership table skips.
            const known = this.decoded.get(content);
            const upstreams = known === undefined ? this.options.codec.decode([content]) : ok(known);
            if (upstreams.isErr()) {
                return err(upstreams.error);
            }
            decoded.set(content, upstreams.value);
        }
        const { version, digest } = head;
        this.received = { version, digest, decoded };
        const list = { version, upstreams: [...decoded.values()].flat() };
        return this.options.pipeline.apply({ list, digest, cause });
    }

    private updateHistory(list: InstanceList, digest: string): void {
        const { received } = this;
        if (received?.version === list.version && received.digest === digest) {
            this.decoded = received.decoded;
        }
        else {
            const contents = this.options.codec.encode(list.upstreams);
            this.decoded = new Map(
                contents.map(
                    content => [
                        content,
                        this.decoded.get(content) ?? this.options.codec.decode([content]).unwrapOr([]),
                    ],
                ),
            );
        }
        this.received = undefined;
        this.history.update(list.version, digest, [...this.decoded.keys()]);
    }

    reportConflict(head: DocumentHead, cause: string): void {
        const conflict = `${head.version} ${head.digest}`;
        if (conflict === this.conflict) {
            return;
        }
        this.conflict = conflict;
        const { version, digest } = head;
        const code = Code.InstanceListConflict;
        this.options.logger.write(LogLevel.Error, "instance_list_rejected", { code, version, digest, cause });
        this.options.metrics.addCount("membership.rejected", { code: `${code}` });
    }
}
