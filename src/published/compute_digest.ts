import { createHash } from "node:crypto";

/** SHA-256 of a text in UTF-8, in hexadecimal. */
export function computeDigest(text: string): string {
    return createHash("sha256").update(text, "utf8").digest("hex");
}
