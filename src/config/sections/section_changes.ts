import type { ConfigSection } from "./config_section.ts";

/** What leads from one list of sections to another. */
export interface SectionChanges {
    /** Sections that are new or have another digest. */
    readonly changed: readonly ConfigSection[];
    /** Names of the sections that are gone. */
    readonly removed: readonly string[];
}
