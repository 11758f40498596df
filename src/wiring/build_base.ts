import { JsonAuditSink } from "../edge/log/json_audit_sink.ts";
import { JsonLogger } from "../edge/log/json_logger.ts";
import { LineWriter } from "../edge/log/line_writer.ts";
import { RegistryMetrics } from "../edge/metrics_http/registry_metrics.ts";
import { StatsdMetrics } from "../edge/statsd/statsd_metrics.ts";
import { SystemClock } from "../edge/system/system_clock.ts";
import { SystemRandom } from "../edge/system/system_random.ts";
import { SystemTimers } from "../edge/system/system_timers.ts";
import { UnexpectedErrorLog } from "../edge/system/unexpected_error_log.ts";
import { V8BufferCollector } from "../edge/system/v8_buffer_collector.ts";
import { HealthScoreTable } from "../health/health_score_table.ts";
import { createMemoryGuard } from "../memory/create_memory_guard.ts";
import { CombinedMetrics } from "../metrics/combined_metrics.ts";
import { IoActivity } from "../metrics/io_activity.ts";
import { IoActivityCounter } from "../metrics/io_activity_counter.ts";
import type { OwnerIdentity } from "../operations/owner_identity.ts";
import type { ServeSettings } from "../settings/serve_settings.ts";

/** Standard output, for log and audit trail. */
const outputFd = 1;

/** Builds the components that all other parts of a daemon use. */
export function buildBase(settings: ServeSettings) {
    const clock = new SystemClock();
    const random = new SystemRandom();
    const timers = new SystemTimers();
    const { daemonId, logLevel, metricsAddress, metricsListenAddress } = settings;
    const incarnation = Math.floor(random.getFloat() * 2 ** 32).toString(16) + Date.now().toString(16);
    const identity: OwnerIdentity = { ownerId: daemonId, incarnation };
    const output = new LineWriter({
        fd: outputFd,
        timers,
        formatDropped: dropped =>
            `${JSON.stringify({ event: "lines_dropped", daemon: daemonId, dropped, cause: "reader" })}\n`,
    });
    const activity = new IoActivityCounter();
    const writeLine = (line: string): void => {
        activity.add(IoActivity.LinesWritten);
        output.write(line);
    };
    const logger = new JsonLogger({ clock, daemonId, level: logLevel, writeLine });
    const audit = new JsonAuditSink({ clock, daemonId, writeLine });
    const statsd = metricsAddress === undefined
        ? undefined
        : new StatsdMetrics({ address: metricsAddress, daemonId });
    const registry = metricsListenAddress === undefined ? undefined : new RegistryMetrics(daemonId);
    const metrics = new CombinedMetrics([...statsd ? [statsd] : [], ...registry ? [registry] : []]);
    const unexpectedErrors = new UnexpectedErrorLog({ process, logger, metrics });
    const memory = createMemoryGuard(settings.memoryBytes, {
        collector: new V8BufferCollector(),
        timers,
        logger,
        metrics,
    });
    const scoreTable = new HealthScoreTable();
    return {
        clock,
        timers,
        random,
        identity,
        logger,
        audit,
        output,
        statsd,
        registry,
        metrics,
        memory,
        scoreTable,
        activity,
        unexpectedErrors,
    };
}
