import type { Result } from "neverthrow";
import type { Failure } from "../core/failure.ts";
import type { DocumentHead } from "./document_head.ts";
import type { DocumentName } from "./document_name.ts";
import type { Section } from "./section.ts";

/** Active version of a document that daemons exchange by gossip. */
export interface GossipDocument {
    readonly name: DocumentName;
    getHead(): DocumentHead;
    /** Sections of the active version, in order. */
    getSections(): readonly Section[];
    /** Section digests of the active or an earlier version; undefined when they are no longer kept. */
    findBase(version: number, digest: string): readonly string[] | undefined;
    /** Passes a verified document from a peer through its control pipeline. */
    update(head: DocumentHead, contents: readonly string[], cause: string): Promise<Result<unknown, Failure>>;
    /** Reports that a peer has different content under the active version. */
    reportConflict(head: DocumentHead, cause: string): void;
}
