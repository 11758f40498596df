import type { DocumentHead } from "./document_head.ts";
import { HeadOrder } from "./head_order.ts";

/** Says how `other` relates to `own`. Only the platform assigns versions, so a higher one is always newer. */
export function compareHeads(own: DocumentHead, other: DocumentHead): HeadOrder {
    if (other.version !== own.version) {
        return other.version > own.version ? HeadOrder.Newer : HeadOrder.Older;
    }
    return other.digest === own.digest ? HeadOrder.Same : HeadOrder.Conflict;
}
