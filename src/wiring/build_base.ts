import { JsonAuditSink } from "../edge/log/json_audit_sink.ts";
import { JsonLogger } from "../edge/log/json_logger.ts";
import { StatsdMetrics } from "../edge/statsd/statsd_metrics.ts";
import { SystemClock } from "../edge/system/system_clock.ts";
import { SystemRandom } from "../edge/system/system_random.ts";
import { SystemTimers } from "../edge/system/system_timers.ts";
import { ScoreBoard } from "../health/score_board.ts";
import { NoMetrics } from "../metrics/no_metrics.ts";
import type { OwnerIdentity } from "../operations/owner_identity.ts";
import type { ServeSettings } from "../settings/serve_settings.ts";

interface LogOptions {
    readonly writeAudit: (line: string) => void;
    readonly writeLog: (line: string) => void;
}

/** What every other part needs. */
export function buildBase(settings: ServeSettings, options: LogOptions) {
    const clock = new SystemClock();
    const random = new SystemRandom();
    const { daemonId, logLevel, metricsAddress } = settings;
    const incarnation = Math.floor(random.take() * 2 ** 32).toString(16) + Date.now().toString(16);
    const identity: OwnerIdentity = { ownerId: daemonId, incarnation };
    const logger = new JsonLogger({ clock, daemonId, level: logLevel, writeLine: options.writeLog });
    const audit = new JsonAuditSink({ clock, daemonId, writeLine: options.writeAudit });
    const statsd = metricsAddress === undefined
        ? undefined
        : new StatsdMetrics({ address: metricsAddress, daemonId });
    const metrics = statsd ?? new NoMetrics();
    const board = new ScoreBoard();
    return { clock, timers: new SystemTimers(), random, identity, logger, audit, statsd, metrics, board };
}
