/** One change in the audit trail. */
export interface AuditEntry {
    /** Kind of change, for example `config`, `membership`, `ejection`, `return`, `drain`. */
    readonly change: string;
    /** What changed: a service, an upstream, a daemon. */
    readonly subject: string;
    readonly before: string;
    readonly after: string;
    readonly cause: string;
    /** Version of the active configuration or instance list. */
    readonly version: number;
}
