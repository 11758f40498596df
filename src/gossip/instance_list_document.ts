import { err, type Result } from "neverthrow";
import { Code } from "../core/code.ts";
import type { Failure } from "../core/failure.ts";
import type { Filter } from "../core/filter.ts";
import { LogLevel } from "../core/log_level.ts";
import type { Logger } from "../core/logger.ts";
import type { Metrics } from "../core/metrics.ts";
import type { MembershipTable } from "../membership/membership_table.ts";
import type { InstanceCandidate } from "../platform/instance_candidate.ts";
import type { InstanceListCodec } from "../platform/instance_list_codec.ts";
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

/** The instance list in force as a document of the gossip. */
export class InstanceListDocument implements GossipDocument {
    readonly name = DocumentName.Instances;
    private readonly history = new SectionHistory();
    private conflict = "";

    constructor(private readonly options: Options) {}

    getHead(): DocumentHead {
        const { list, digest } = this.options.membership.getList();
        if (list.version !== this.history.getVersion()) {
            this.history.update(list.version, digest, this.options.codec.encode(list.upstreams));
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
        const upstreams = this.options.codec.decode(contents);
        if (upstreams.isErr()) {
            return err(upstreams.error);
        }
        const list = { version: head.version, upstreams: upstreams.value };
        return this.options.pipeline.apply({ list, digest: head.digest, cause });
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
