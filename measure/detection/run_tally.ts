import type { AuditEntry } from "../../src/audit/audit_entry.ts";
import { findQuiet } from "./find_quiet.ts";
import type { RunResult } from "./run_result.ts";
import type { Scenario } from "./scenario.ts";

/** Counts what happens in one run. Times are milliseconds after the event. */
export class RunTally {
    private wrongful = 0;
    private returns = 0;
    private firstEjectionMs: number | undefined;
    private lowestRotation = Number.POSITIVE_INFINITY;
    private readonly ordinarySentMs: number[] = [];
    private answered = 0;
    private good = 0;

    /** `isOwnFault` is false when no ejection is right, because the fault is not one of single upstreams. */
    constructor(
        private readonly scenario: Scenario,
        private readonly faulty: ReadonlySet<string>,
        private readonly isOwnFault: boolean,
    ) {}

    recordAudit(entry: AuditEntry, afterMs: number): void {
        if (entry.change === "return") {
            this.returns += 1;
        }
        else if (
            entry.before === "in rotation" &&
            (!this.isOwnFault || afterMs < 0 || !this.faulty.has(entry.subject))
        ) {
            this.wrongful += 1;
        }
        else {
            this.firstEjectionMs ??= afterMs;
        }
    }

    recordRotation(size: number): void {
        this.lowestRotation = Math.min(this.lowestRotation, size);
    }

    /** Counts an ordinary request to a faulty upstream. */
    recordFaultyRequest(afterMs: number): void {
        if (afterMs >= 0) {
            this.ordinarySentMs.push(afterMs);
        }
    }

    recordAnswer(isGood: boolean): void {
        this.answered += 1;
        this.good += isGood ? 1 : 0;
    }

    build(): RunResult {
        const { eventMs, endMs, faulty } = this.scenario;
        return {
            outMs: faulty === 0 ? undefined : findQuiet(this.ordinarySentMs, endMs - eventMs),
            firstEjectionMs: this.firstEjectionMs,
            wrongful: this.wrongful,
            lowestRotation: this.lowestRotation,
            faultyRequests: this.ordinarySentMs.length,
            returns: this.returns,
            goodShare: this.good / Math.max(1, this.answered),
        };
    }
}
