import { computeDigest } from "../published/compute_digest.ts";
import type { Section } from "./section.ts";

interface Version {
    readonly version: number;
    readonly digest: string;
    readonly sectionDigests: readonly string[];
}

/** Sections of the version in force, and the section digests of the versions before it. */
export class SectionHistory {
    private sections: readonly Section[] = [];
    private readonly versions: Version[] = [];

    /**
     * `limit` is the number of versions that are remembered. 64 versions of 1,800 sections are about 1 MB of
     * references, and cover ten minutes at 9,000 changes per day.
     */
    constructor(private readonly limit = 64) {}

    update(version: number, digest: string, contents: readonly string[]): void {
        const before = new Map(this.sections.map(section => [section.content, section]));
        this.sections = contents.map(content =>
            before.get(content) ?? { content, digest: computeDigest(content).slice(0, 16) }
        );
        this.versions.push({ version, digest, sectionDigests: this.sections.map(section => section.digest) });
        if (this.versions.length > this.limit) {
            this.versions.shift();
        }
    }

    /** Version that `update` was last called with; 0 before the first call. */
    getVersion(): number {
        return this.versions.at(-1)?.version ?? 0;
    }

    getSections(): readonly Section[] {
        return this.sections;
    }

    findBase(version: number, digest: string): readonly string[] | undefined {
        return this.versions.find(entry => entry.version === version && entry.digest === digest)
            ?.sectionDigests;
    }
}
