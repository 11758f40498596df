import type { AuditSink } from "../../src/audit/audit_sink.ts";
import type { Logger } from "../../src/core/logger.ts";
import type { Metrics } from "../../src/core/metrics.ts";

/** Discards audit entries, log lines and metrics. */
export class NullSinks implements AuditSink, Logger, Metrics {
    record(): void {}
    write(): void {}
    addCount(): void {}
    setGauge(): void {}
    recordTime(): void {}
}
