import { ok, type Result } from "neverthrow";
import type { Failure } from "../src/core/failure.ts";
import type { DocumentHead } from "../src/gossip/document_head.ts";
import type { DocumentName } from "../src/gossip/document_name.ts";
import type { GossipDocument } from "../src/gossip/gossip_document.ts";
import type { Section } from "../src/gossip/section.ts";
import { computeDigest } from "../src/published/compute_digest.ts";

const sectionsByVersion = new Map<number, readonly Section[]>();

/** A document of three short sections, the middle one of which differs between versions. */
export class VersionDocument implements GossipDocument {
    private version = 1;

    constructor(readonly name: DocumentName, private readonly onUpdate: (version: number) => void) {}

    getHead(): DocumentHead {
        return { name: this.name, version: this.version, digest: computeVersionDigest(this.version) };
    }

    getSections(): readonly Section[] {
        return getVersionSections(this.version);
    }

    findBase(version: number): readonly string[] {
        return getVersionSections(version).map(section => section.digest);
    }

    async update(head: DocumentHead): Promise<Result<void, Failure>> {
        if (head.version > this.version) {
            this.version = head.version;
            this.onUpdate(head.version);
        }
        return ok(undefined);
    }

    reportConflict(): void {}
}

function getVersionSections(version: number): readonly Section[] {
    const contents = ["first\n", `version ${version}\n`, "last\n"];
    const sections = sectionsByVersion.get(version)
        ?? contents.map(content => ({ content, digest: computeDigest(content).slice(0, 16) }));
    sectionsByVersion.set(version, sections);
    return sections;
}

function computeVersionDigest(version: number): string {
    return computeDigest(getVersionSections(version).map(section => section.content).join(""));
}
