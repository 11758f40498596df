import type { AuditEntry } from "../../audit/audit_entry.ts";
import type { AuditSink } from "../../audit/audit_sink.ts";
import type { Clock } from "../../core/clock.ts";

interface JsonAuditSinkOptions {
    readonly clock: Clock;
    readonly daemonId: string;
    readonly writeLine: (line: string) => void;
}

/** Writes the audit trail as JSON lines. */
export class JsonAuditSink implements AuditSink {
    constructor(private readonly options: JsonAuditSinkOptions) {}

    record(entry: AuditEntry): void {
        const time = new Date(this.options.clock.getWallMs()).toISOString();
        this.options.writeLine(`${JSON.stringify({ time, daemon: this.options.daemonId, ...entry })}\n`);
    }
}
