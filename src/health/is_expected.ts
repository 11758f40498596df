import type { ExpectConfig } from "../config/expect_config.ts";
import type { Answer } from "../core/answer.ts";

/** True when the route expects the status and the media type of the answer. */
export function isExpected(answer: Answer, expect: ExpectConfig): boolean {
    if (!expect.statuses.includes(answer.status)) {
        return false;
    }
    if (expect.contentType === "") {
        return true;
    }
    const header = answer.headers.find(({ name }) => name === "content-type");
    const mediaType = header?.value.split(";")[0]?.trim().toLowerCase();
    return mediaType === expect.contentType.toLowerCase();
}
