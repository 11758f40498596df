import type { AuditEntry } from "../../src/audit/audit_entry.ts";
import { findTrafficEnd } from "./find_traffic_end.ts";
import type { RunResult } from "./run_result.ts";
import type { Scenario } from "./scenario.ts";

/** Records the events of one run and computes its results. Times are milliseconds after the event. */
export class RunRecorder {
    private falseEjections = 0;
    private returns = 0;
    private firstEjectionMs: number | undefined;
    private minInRotation = Number.POSITIVE_INFINITY;
    private readonly faultyRequestsMs: number[] = [];
    private answered = 0;
    private expectedAnswers = 0;

    /** `isUpstreamFault` is false when no single upstream is at fault, so that every ejection is false. */
    constructor(
        private readonly scenario: Scenario,
        private readonly faulty: ReadonlySet<string>,
        private readonly isUpstreamFault: boolean,
    ) {}

    recordAudit(entry: AuditEntry, afterMs: number): void {
        if (entry.change === "return") {
            this.returns += 1;
        }
        else if (
            entry.before === "in rotation" &&
            (!this.isUpstreamFault || afterMs < 0 || !this.faulty.has(entry.subject))
        ) {
            this.falseEjections += 1;
        }
        else {
            this.firstEjectionMs ??= afterMs;
        }
    }

    recordRotation(size: number): void {
        this.minInRotation = Math.min(this.minInRotation, size);
    }

    /** Counts an ordinary request to a faulty upstream. */
    recordFaultyRequest(afterMs: number): void {
        if (afterMs >= 0) {
            this.faultyRequestsMs.push(afterMs);
        }
    }

    recordAnswer(isExpectedAnswer: boolean): void {
        this.answered += 1;
        this.expectedAnswers += isExpectedAnswer ? 1 : 0;
    }

    build(): RunResult {
        const { eventMs, endMs, faultyCount } = this.scenario;
        return {
            trafficEndMs: faultyCount === 0
                ? undefined
                : findTrafficEnd(this.faultyRequestsMs, endMs - eventMs),
            firstEjectionMs: this.firstEjectionMs,
            falseEjections: this.falseEjections,
            minInRotation: this.minInRotation,
            faultyRequests: this.faultyRequestsMs.length,
            returns: this.returns,
            expectedAnswerShare: this.expectedAnswers / Math.max(1, this.answered),
        };
    }
}
