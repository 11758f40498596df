import { createHash } from "node:crypto";
import type { OwnerRequest } from "../queue/owner_request.ts";

/**
 * Digest of the request that a key was used for. The organisation is part of it, so that a key that leaks to
 * another organisation does not return the stored answer.
 */
export function computeFingerprint(
    request: Pick<OwnerRequest, "method" | "target" | "organisation" | "body">,
): string {
    const head = JSON.stringify([request.method, request.target, request.organisation]);
    return createHash("sha256").update(head).update("\n").update(request.body).digest("base64url");
}
