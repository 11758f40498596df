import assert from "node:assert/strict";
import { test } from "node:test";
import { FailureCause } from "../explain/failure_cause.ts";
import type { ServiceSummary } from "../explain/service_summary.ts";
import { ExitCode } from "./exit_code.ts";
import { runSummary } from "./run_summary.ts";

interface AttemptFields {
    readonly code: number;
    readonly upstream?: string;
    readonly idempotent?: boolean;
    readonly faultProbability?: number;
}

function formatLine(event: string, requestId: string, fields: object, second = 10): string {
    return JSON.stringify({
        time: `2026-01-01T00:00:${`${second}`.padStart(2, "0")}.000Z`,
        daemon: "a",
        event,
        requestId,
        ...fields,
    });
}

function formatAttempt(requestId: string, fields: AttemptFields): string {
    const defaults = {
        attempt: 1,
        service: "payments",
        idempotent: false,
        upstream: "u1",
        faultProbability: 0,
    };
    return formatLine("attempt", requestId, { ...defaults, ageMs: 100, ...fields });
}

function formatOwner(upstream: string, faultProbability: number, second: number): string {
    return formatLine("owner_attempt", "other", { upstream, faultProbability, queued: 0 }, second);
}

function formatFailure(requestId: string, code: number): string {
    return formatLine("request_failed", requestId, { code, outcome: "unknown" });
}

async function run(lines: readonly string[], options: object = {}) {
    const written = { output: "", errors: "" };
    const exitCode = await runSummary(
        { files: ["a.log"], format: "json", ...options },
        {
            async *readLines(path) {
                if (path !== "a.log") {
                    throw new Error("no such file");
                }
                yield* lines;
            },
        },
        { write: text => written.output += text, writeError: text => written.errors += text },
    );
    return { exitCode, ...written };
}

async function findCauses(lines: readonly string[], service = "payments"): Promise<Record<string, number>> {
    const { output } = await run(lines, { service });
    const [summary] = JSON.parse(output) as ServiceSummary[];
    const sum = Object.values(summary!.causes).reduce((left, right) => left + right, 0);
    assert.equal(sum, summary!.requests - summary!.served, "the causes add up to the unserved requests");
    return summary!.causes;
}

const stopped = formatLine("attempts_stopped", "r1", {
    service: "payments",
    idempotent: true,
    reason: "budget",
});
const trustedOwners = [formatAttempt("r2", { code: 0, upstream: "u2" }), formatOwner("u2", 0.1, 9)];

for (
    const { cause, lines } of [
        {
            cause: FailureCause.CallFailed,
            lines: [
                formatAttempt("r1", { code: 2030, faultProbability: 0.9 }),
                formatLine("request_answered", "r1", { status: 500 }),
                formatFailure("r1.c1", 1004),
            ],
        },
        {
            cause: FailureCause.AvoidableFault,
            lines: [formatAttempt("r1", { code: 2030, faultProbability: 0.9 }), ...trustedOwners],
        },
        {
            cause: FailureCause.UnavoidableFault,
            lines: [
                formatAttempt("r1", { code: 2030, faultProbability: 0.9 }),
                formatAttempt("r2", { code: 0, upstream: "u2" }),
                // The observation is too old to tell the state of the upstream.
                formatOwner("u2", 0.1, 1),
            ],
        },
        { cause: FailureCause.UnexpectedFault, lines: [formatAttempt("r1", { code: 2014 })] },
        {
            cause: `${FailureCause.NotRetried}: budget`,
            lines: [formatAttempt("r1", { code: 2030, idempotent: true }), stopped],
        },
        {
            cause: `${FailureCause.Refused}: 2002`,
            lines: [formatAttempt("r1", { code: 2002 }), formatFailure("r1", 2002)],
        },
        {
            cause: FailureCause.Deadline,
            lines: [formatAttempt("r1", { code: 1004 }), formatFailure("r1", 1004)],
        },
        {
            cause: FailureCause.CallerLeft,
            lines: [formatAttempt("r1", { code: 1008 }), formatFailure("r1", 1008)],
        },
        { cause: FailureCause.NoEnd, lines: [formatAttempt("r1", { code: 0 })] },
    ]
) {
    test(`an unserved request is counted under one cause: ${cause}`, async () => {
        const ends = lines.some(line => line.includes("request_") || cause === FailureCause.NoEnd)
            ? []
            : [formatLine("request_answered", "r1", { status: 500 })];
        const served = [formatLine("request_answered", "r2", { status: 200 })];
        const idempotent = lines.some(line => line.includes('"idempotent":true'));
        const causes = await findCauses([
            ...idempotent ? [] : [formatAttempt("r2", { code: 0, upstream: "u2" })],
            ...served,
            ...lines,
            ...ends,
        ]);
        assert.deepEqual(causes, { [cause]: 1 });
    });
}

test("text in front of a line is skipped, and lines of other times and unreadable ones are not counted", async () => {
    const lines = [
        "12.5 a " + formatAttempt("r1", { code: 0 }),
        "12.5 a " + formatLine("request_answered", "r1", { status: 200 }),
        formatLine("request_answered", "r9", { status: 200 }, 50),
        "not json",
    ];
    const { errors, exitCode, output } = await run(lines, {
        format: "text",
        until: "2026-01-01T00:00:30.000Z",
    });
    assert.equal(exitCode, ExitCode.Ok);
    assert.match(output, /^payments, non-idempotent: 1 requests, 1 served\n/);
    assert.match(errors, /^1 lines are no lines of the log/);
});

test("an unreadable file and an unknown format are reported as errors", async () => {
    assert.match((await run([], { files: ["b.log"] })).errors, /^b\.log: error 5003: no such file/);
    assert.match((await run([], { format: "yaml" })).errors, /--format is text or json, not yaml/);
});
