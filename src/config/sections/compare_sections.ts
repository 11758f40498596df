import type { ConfigSection } from "./config_section.ts";
import type { SectionChanges } from "./section_changes.ts";

/** The changes that lead from `before` to `after`. */
export function compareSections(
    before: readonly ConfigSection[],
    after: readonly ConfigSection[],
): SectionChanges {
    const digests = new Map(before.map(({ name, digest }) => [name, digest]));
    const changed = after.filter(({ name, digest }) => digests.get(name) !== digest);
    const remaining = new Set(after.map(({ name }) => name));
    return { changed, removed: [...digests.keys()].filter(name => !remaining.has(name)) };
}
