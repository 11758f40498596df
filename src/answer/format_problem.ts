import type { Answer } from "../core/answer.ts";
import { codeTable } from "../core/code_table.ts";
import type { Failure } from "../core/failure.ts";
import { RequestHeader } from "../core/request_header.ts";

const RETRY_AFTER_SECONDS = 1;

/** Problem document (RFC 9457) for a failure, with its code and outcome in the body and in headers. */
export function formatProblem(failure: Failure, requestId: string): Answer {
    const { status, summary } = codeTable[failure.code];
    const problem = {
        title: summary,
        status,
        detail: failure.detail,
        code: failure.code,
        outcome: failure.outcome,
        requestId,
    };
    const headers = [
        { name: "content-type", value: "application/problem+json" },
        { name: RequestHeader.Code, value: `${failure.code}` },
        { name: RequestHeader.Outcome, value: failure.outcome },
        { name: RequestHeader.RequestId, value: requestId },
    ];
    if (status === 429 || status === 503) {
        headers.push({ name: "retry-after", value: `${RETRY_AFTER_SECONDS}` });
    }
    return { status, headers, body: Buffer.from(JSON.stringify(problem)) };
}
