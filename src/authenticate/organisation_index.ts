import type { Organisation } from "../config/organisation.ts";

/**
 * Organisations of one configuration by key. The strings are those of the configuration, so an entry takes only its
 * place in the map. V8 compares the bytes of two keys only when their length and their hash, which is seeded for each
 * process, agree; the time of a look-up tells nothing about how many bytes of a key are right.
 */
export class OrganisationIndex {
    private readonly organisationsByKey = new Map<string, Organisation>();

    constructor(organisations: ReadonlyMap<string, Organisation>) {
        for (const organisation of organisations.values()) {
            for (const key of organisation.keys) {
                this.organisationsByKey.set(key, organisation);
            }
        }
    }

    find(key: string): Organisation | undefined {
        return this.organisationsByKey.get(key);
    }
}
