import type { RouteConfig } from "../config/route_config.ts";
import type { Answer } from "../core/answer.ts";
import { Code } from "../core/code.ts";
import { codeTable } from "../core/code_table.ts";
import { Outcome } from "../core/outcome.ts";
import type { UpstreamResult } from "../dispatch/upstream_result.ts";
import { UpstreamResultKind } from "../dispatch/upstream_result_kind.ts";
import { isExpected } from "../health/is_expected.ts";
import type { Verdict } from "./verdict.ts";

const codeOfKind = {
    [UpstreamResultKind.NotSent]: Code.UpstreamRefused,
    [UpstreamResultKind.Cut]: Code.UpstreamCut,
    [UpstreamResultKind.TimedOut]: Code.UpstreamTimeout,
    [UpstreamResultKind.Cancelled]: Code.CallerCancelled,
    [UpstreamResultKind.AnswerTooLarge]: Code.AnswerTooLarge,
    [UpstreamResultKind.Declined]: Code.UpstreamShed,
    [UpstreamResultKind.Replaced]: Code.UpstreamReplaced,
    [UpstreamResultKind.Garbled]: Code.UpstreamGarbled,
} as const;

/** Judges the result of an exchange; `not-executed` only when no byte was sent or the upstream declared it. */
export function decideVerdict(route: RouteConfig, result: UpstreamResult): Verdict {
    if (result.kind === UpstreamResultKind.Answered) {
        return result.answer === undefined
            ? buildVerdict(Code.UpstreamCut, { detail: "the upstream result has no answer" })
            : decideAnswer(route, result.answer);
    }
    const code = codeOfKind[result.kind];
    // The status of an answer that was too large is not known to be one that the route expects.
    const outcome = code === Code.AnswerTooLarge ? Outcome.Unknown : codeTable[code].outcome;
    return buildVerdict(code, { outcome, detail: result.detail, shed: code === Code.UpstreamShed });
}

function decideAnswer(route: RouteConfig, answer: Answer): Verdict {
    if (route.shedStatuses.includes(answer.status)) {
        return buildVerdict(Code.UpstreamShed, { shed: true });
    }
    return isExpected(answer, route.expect) ? buildVerdict(Code.Ok) : buildVerdict(Code.UpstreamUnexpected, {
        detail: `the route does not expect this answer with status ${answer.status}`,
    });
}

function buildVerdict(code: Code, fields: Partial<Verdict> = {}): Verdict {
    const { outcome, summary } = codeTable[code];
    return { code, outcome, detail: summary, shed: false, ...fields };
}
