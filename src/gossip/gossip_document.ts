import type { Result } from "neverthrow";
import type { Failure } from "../core/failure.ts";
import type { DocumentHead } from "./document_head.ts";
import type { DocumentName } from "./document_name.ts";
import type { Section } from "./section.ts";

/** A document in force as the gossip sees it. */
export interface GossipDocument {
    readonly name: DocumentName;
    getHead(): DocumentHead;
    /** Sections of the version in force, in order. */
    getSections(): readonly Section[];
    /** Section digests of an earlier version or the one in force; undefined when they are not remembered. */
    findBase(version: number, digest: string): readonly string[] | undefined;
    /** Passes a verified document from a peer through its control pipeline. */
    update(head: DocumentHead, contents: readonly string[], cause: string): Promise<Result<unknown, Failure>>;
    /** Reports that a peer has another document under the version in force. */
    reportConflict(head: DocumentHead, cause: string): void;
}
