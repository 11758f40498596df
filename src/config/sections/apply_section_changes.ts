import type { ConfigSection } from "./config_section.ts";
import type { SectionChanges } from "./section_changes.ts";

/** The sections after the changes. */
export function applySectionChanges(
    sections: readonly ConfigSection[],
    changes: SectionChanges,
): readonly ConfigSection[] {
    const byName = new Map(sections.map(section => [section.name, section]));
    for (const name of changes.removed) {
        byName.delete(name);
    }
    for (const section of changes.changed) {
        byName.set(section.name, section);
    }
    return [...byName.values()];
}
