import { computeDigest } from "../published/compute_digest.ts";
import type { Section } from "./section.ts";

interface HistoryEntry {
    readonly version: number;
    readonly digest: string;
    readonly sectionDigests: readonly string[];
}

/** Sections of the active version, and the section digests of earlier versions. */
export class SectionHistory {
    private sections: readonly Section[] = [];
    private readonly entries: HistoryEntry[] = [];

    /**
     * `maxVersions` is the number of versions that are kept. 64 versions of 1,800 sections are about 1 MB of
     * references, and cover ten minutes at 9,000 changes per day.
     */
    constructor(private readonly maxVersions = 64) {}

    update(version: number, digest: string, contents: readonly string[]): void {
        const previous = new Map(this.sections.map(section => [section.content, section]));
        this.sections = contents.map(content =>
            previous.get(content) ?? { content, digest: computeDigest(content).slice(0, 16) }
        );
        this.entries.push({ version, digest, sectionDigests: this.sections.map(section => section.digest) });
        if (this.entries.length > this.maxVersions) {
            this.entries.shift();
        }
    }

    /** Version that `update` was last called with; 0 before the first call. */
    getVersion(): number {
        return this.entries.at(-1)?.version ?? 0;
    }

    getSections(): readonly Section[] {
        return this.sections;
    }

    findBase(version: number, digest: string): readonly string[] | undefined {
        return this.entries.find(entry => entry.version === version && entry.digest === digest)
            ?.sectionDigests;
    }
}
