import type { HealthConfig } from "../config/health_config.ts";

/** Sequential tests of each upstream: one for slow answers and one for failed requests. */
const testsPerUpstream = 2;

/**
 * Score in nats at which a test raises the alarm. A run of one test reaches `h` with a probability of at most
 * `exp(-h)` while the upstream is healthy, so the configured false-alarm probability is split between the
 * tests.
 */
export function computeAlarmScore(health: HealthConfig): number {
    return Math.log(testsPerUpstream / health.falseAlarm);
}
