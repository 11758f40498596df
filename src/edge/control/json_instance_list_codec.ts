import { err, ok, type Result } from "neverthrow";
import { Code } from "../../core/code.ts";
import { createFailure } from "../../core/create_failure.ts";
import type { Failure } from "../../core/failure.ts";
import type { Upstream } from "../../core/upstream.ts";
import type { InstanceListCodec } from "../../published/instance_list_codec.ts";

/**
 * One line of JSON for each daemon:
 * `[failureDomain, region, ownerId, ownerAddress, [[id, service, leaving]...]]`.
 * The upstreams of a daemon share its fields; a list of 24,000 upstreams takes about 930 KB.
 */
export class JsonInstanceListCodec implements InstanceListCodec {
    /** Cache of the last list, because its text is needed for the digest and again for gossip. */
    private lastEncoded:
        | { readonly upstreams: readonly Upstream[]; readonly sections: readonly string[]; }
        | undefined;

    encode(upstreams: readonly Upstream[]): readonly string[] {
        if (this.lastEncoded?.upstreams !== upstreams) {
            this.lastEncoded = { upstreams, sections: encodeSections(upstreams) };
        }
        return this.lastEncoded.sections;
    }

    decode(sections: readonly string[]): Result<readonly Upstream[], Failure> {
        const upstreams: Upstream[] = [];
        for (const section of sections) {
            const decoded = decodeSection(section);
            if (decoded === undefined) {
                return err(createFailure(Code.InstanceListBadValue));
            }
            upstreams.push(...decoded);
        }
        return ok(upstreams);
    }
}

function encodeSections(upstreams: readonly Upstream[]): readonly string[] {
    const groups = new Map<string, Upstream[]>();
    for (const upstream of upstreams) {
        const { failureDomain, region, ownerId, ownerAddress } = upstream;
        const key = `${failureDomain}\n${region}\n${ownerId}\n${ownerAddress}`;
        const group = groups.get(key);
        if (group === undefined) {
            groups.set(key, [upstream]);
        }
        else {
            group.push(upstream);
        }
    }
    return [...groups].sort(([left], [right]) => left < right ? -1 : 1).map(([, members]) => {
        const { failureDomain, region, ownerId, ownerAddress } = members[0]!;
        const rows = members.sort((left, right) => left.id < right.id ? -1 : 1)
            .map(({ id, service, leaving }) => [id, service, leaving ? 1 : 0]);
        return `${JSON.stringify([failureDomain, region, ownerId, ownerAddress, rows])}\n`;
    });
}

function decodeSection(section: string): readonly Upstream[] | undefined {
    let value: unknown;
    try {
        value = JSON.parse(section);
    }
    catch {
        return undefined;
    }
    const [failureDomain, region, ownerId, ownerAddress, rows] = Array.isArray(value)
        ? value as unknown[]
        : [];
    const isHead = typeof failureDomain === "string" && typeof region === "string"
        && typeof ownerId === "string" && typeof ownerAddress === "string";
    if (!isHead || !Array.isArray(rows)) {
        return undefined;
    }
    const upstreams: Upstream[] = [];
    for (const row of rows as unknown[]) {
        const [id, service, leaving] = Array.isArray(row) ? row as unknown[] : [];
        if (typeof id !== "string" || typeof service !== "string" || (leaving !== 0 && leaving !== 1)) {
            return undefined;
        }
        upstreams.push({ id, service, failureDomain, region, ownerId, ownerAddress, leaving: leaving === 1 });
    }
    return upstreams;
}
