import type { AuditEntry } from "../../../src/audit/audit_entry.ts";
import type { AuditSink } from "../../../src/audit/audit_sink.ts";
import type { LogLevel } from "../../../src/core/log_level.ts";
import type { Logger } from "../../../src/core/logger.ts";
import type { Metrics } from "../../../src/core/metrics.ts";

/** Records log lines, metrics and audit entries for tests. */
export class RecordingSinks implements Logger, Metrics, AuditSink {
    readonly entries: AuditEntry[] = [];
    readonly events: { event: string; fields: Readonly<Record<string, string | number | boolean>>; }[] = [];
    readonly counts = new Map<string, number>();

    write(
        _level: LogLevel,
        event: string,
        fields: Readonly<Record<string, string | number | boolean>> = {},
    ): void {
        this.events.push({ event, fields });
    }

    record(entry: AuditEntry): void {
        this.entries.push(entry);
    }

    addCount(name: string): void {
        this.counts.set(name, (this.counts.get(name) ?? 0) + 1);
    }

    setGauge(): void {}

    recordTime(): void {}

    /** Lists the codes of the log lines with this event name, in order. */
    listCodes(event: string): readonly unknown[] {
        return this.events.filter(line => line.event === event).map(line => line.fields["code"]);
    }
}
