import type { RouteConfig } from "../config/route_config.ts";
import type { Answer } from "../core/answer.ts";
import { Code } from "../core/code.ts";
import { codeTable } from "../core/code_table.ts";
import { Outcome } from "../core/outcome.ts";
import type { UpstreamResult } from "../dispatch/upstream_result.ts";
import { UpstreamResultKind } from "../dispatch/upstream_result_kind.ts";
import { isExpected } from "../health/is_expected.ts";
import type { AttemptResult } from "./attempt_result.ts";

const codeByResultKind = {
    [UpstreamResultKind.NotSent]: Code.UpstreamRefused,
    [UpstreamResultKind.Cut]: Code.UpstreamCut,
    [UpstreamResultKind.TimedOut]: Code.UpstreamTimeout,
    [UpstreamResultKind.Cancelled]: Code.CallerCancelled,
    [UpstreamResultKind.AnswerTooLarge]: Code.AnswerTooLarge,
    [UpstreamResultKind.Declined]: Code.UpstreamShed,
    [UpstreamResultKind.Replaced]: Code.UpstreamReplaced,
    [UpstreamResultKind.Garbled]: Code.UpstreamGarbled,
} as const;

/** Decides code and outcome; `not-executed` only if no byte was sent or the upstream declared it. */
export function decideAttemptResult(route: RouteConfig, result: UpstreamResult): AttemptResult {
    if (result.kind === UpstreamResultKind.Answered) {
        return result.answer === undefined
            ? buildAttemptResult(Code.UpstreamCut, { detail: "the upstream result has no answer" })
            : decideAnswer(route, result.answer);
    }
    const code = codeByResultKind[result.kind];
    // It is not known whether the route expects the status of an answer that was too large.
    const outcome = code === Code.AnswerTooLarge ? Outcome.Unknown : codeTable[code].outcome;
    return buildAttemptResult(code, { outcome, detail: result.detail, shed: code === Code.UpstreamShed });
}

function decideAnswer(route: RouteConfig, answer: Answer): AttemptResult {
    if (route.shedStatuses.includes(answer.status)) {
        return buildAttemptResult(Code.UpstreamShed, { shed: true });
    }
    return isExpected(answer, route.expect) ?
        buildAttemptResult(Code.Ok) :
        buildAttemptResult(Code.UpstreamUnexpected, {
            detail: `the route does not expect this answer with status ${answer.status}`,
        });
}

function buildAttemptResult(code: Code, fields: Partial<AttemptResult> = {}): AttemptResult {
    const { outcome, summary } = codeTable[code];
    return { code, outcome, detail: summary, shed: false, ...fields };
}
