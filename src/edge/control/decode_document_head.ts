import type { DocumentHead as DocumentHeadMessage } from "../../gen/zinniaglade/v1/control_pb.ts";
import type { DocumentHead } from "../../gossip/document_head.ts";
import { DocumentName } from "../../gossip/document_name.ts";

const knownNames: ReadonlySet<string> = new Set(Object.values(DocumentName));

/** Returns undefined for a document that this version of zinniaglade does not know. */
export function decodeDocumentHead(message: DocumentHeadMessage | undefined): DocumentHead | undefined {
    return message === undefined || !knownNames.has(message.name) ? undefined : {
        name: message.name as DocumentName,
        version: Number(message.version),
        digest: message.digest,
    };
}
