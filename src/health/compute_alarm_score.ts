import type { HealthConfig } from "../config/health_config.ts";

/** Number of sequential tests that run side by side for each upstream: slow answers and failed requests. */
const testsPerUpstream = 2;

/**
 * Score in nats at which the alarm is raised. A run of one test reaches `h` with a probability of at most
 * `exp(-h)` while the upstream is healthy, so the configured false-alarm probability is split between the
 * tests.
 */
export function computeAlarmScore(health: HealthConfig): number {
    return Math.log(testsPerUpstream / health.falseAlarm);
}
