import type { AuditEntry } from "./audit_entry.ts";

/** Destination of the audit trail. */
export interface AuditSink {
    record(entry: AuditEntry): void;
}
