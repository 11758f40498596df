import { err, ok, type Result } from "neverthrow";
import type { AuditSink } from "../../src/audit/audit_sink.ts";
import type { Clock } from "../../src/core/clock.ts";
import { Code } from "../../src/core/code.ts";
import { createFailure } from "../../src/core/create_failure.ts";
import type { Failure } from "../../src/core/failure.ts";
import type { OwnerReply } from "../../src/forward/owner_reply.ts";
import { isExpected } from "../../src/health/is_expected.ts";
import type { MembershipReader } from "../../src/membership/membership_reader.ts";
import type { RoutedRequest } from "../../src/route/routed_request.ts";
import type { SelectedRequest } from "../../src/select/selected_request.ts";
import type { UpstreamSelector } from "../../src/select/upstream_selector.ts";

/** Consecutive errors after which an upstream is ejected, and the ejection time in milliseconds. */
const maxErrors = 5;
const holdMs = 30_000;

interface Options {
    readonly clock: Clock;
    readonly membership: MembershipReader;
    readonly audit: AuditSink;
}

/** Baseline: round robin; each entry daemon ejects alone, after consecutive errors, without a floor. */
export class ConsecutiveErrorSelector implements UpstreamSelector {
    private next = 0;
    private readonly errors = new Map<string, number>();
    private readonly ejectedUntilMs = new Map<string, number>();

    constructor(private readonly options: Options) {}

    select(request: RoutedRequest, attempt: number): Result<SelectedRequest, Failure> {
        const nowMs = this.options.clock.getMonotonicMs();
        const members = this.options.membership.list(request.service.name);
        const available = members.filter(({ id }) => (this.ejectedUntilMs.get(id) ?? 0) <= nowMs);
        this.next += 1;
        const upstream = available[this.next % Math.max(1, available.length)];
        return upstream === undefined
            ? err(createFailure(Code.NoUpstream))
            : ok({ ...request, attempt, upstream, baselineMs: 0, trial: false });
    }

    recordStart(): void {
        // Round robin keeps no count of requests in flight.
    }

    recordUnconfirmed(): void {
        // The owners of the measurement confirm every attempt.
    }

    recordReply(selected: SelectedRequest, reply: OwnerReply): void {
        const { id } = selected.upstream;
        const failed = reply.answer === undefined || !isExpected(reply.answer, selected.route.expect);
        const errors = failed ? (this.errors.get(id) ?? 0) + 1 : 0;
        this.errors.set(id, errors);
        if (errors === maxErrors) {
            this.errors.set(id, 0);
            this.ejectedUntilMs.set(id, this.options.clock.getMonotonicMs() + holdMs);
            this.options.audit.record({
                change: "ejection",
                subject: id,
                before: "in rotation",
                after: "ejected",
                cause: `${errors} consecutive errors`,
                version: 1,
            });
        }
    }
}
