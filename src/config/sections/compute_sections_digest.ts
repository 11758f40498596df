import { computeSha256 } from "../compute_sha256.ts";
import type { ConfigSection } from "./config_section.ts";

/** Digest of all sections in any order. Equal digests mean that two daemons have the same fields and values. */
export function computeSectionsDigest(sections: readonly ConfigSection[]): string {
    const lines = sections.map(({ name, digest }) => `${name} ${digest}\n`);
    return computeSha256(lines.sort().join(""));
}
