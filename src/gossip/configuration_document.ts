import type { Result } from "neverthrow";
import type { ActiveConfig } from "../config/active_config.ts";
import { Code } from "../core/code.ts";
import { createFailure } from "../core/create_failure.ts";
import type { Failure } from "../core/failure.ts";
import type { Filter } from "../core/filter.ts";
import type { ConfigSource } from "../published/config_source.ts";
import type { ConfigStore } from "../published/config_store.ts";
import type { DocumentHead } from "./document_head.ts";
import { DocumentName } from "./document_name.ts";
import type { GossipDocument } from "./gossip_document.ts";
import type { Section } from "./section.ts";
import { SectionHistory } from "./section_history.ts";
import type { SectionSplitter } from "./section_splitter.ts";

interface Options {
    readonly store: ConfigStore;
    /** Checks the version of a configuration, parses it and activates it. */
    readonly pipeline: Filter<ConfigSource, ActiveConfig>;
    readonly splitter: SectionSplitter;
}

/** Exposes the active configuration as a gossip document. */
export class ConfigurationDocument implements GossipDocument {
    readonly name = DocumentName.Configuration;
    private readonly history = new SectionHistory();

    constructor(private readonly options: Options) {}

    getHead(): DocumentHead {
        const active = this.options.store.getActive();
        if (active !== undefined && active.version !== this.history.getVersion()) {
            this.history.update(active.version, active.digest, this.options.splitter.split(active.source));
        }
        return { name: this.name, version: active?.version ?? 0, digest: active?.digest ?? "" };
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
        const { version, digest } = head;
        return this.options.pipeline.apply({ version, digest, source: contents.join(""), cause });
    }

    reportConflict(head: DocumentHead, cause: string): void {
        const failure = createFailure(Code.ConfigVersionConflict);
        this.options.store.reportRejected(head.version, head.digest, failure, cause);
    }
}
