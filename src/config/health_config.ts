/** Ejection settings of one service. */
export interface HealthConfig {
    /** Probability that the sequential test raises an alarm for a healthy upstream in one run of the test. */
    readonly falseAlarm: number;
    /** Answers slower than this multiple of the baseline of the service's other upstreams count as slow. */
    readonly slowFactor: number;
    readonly holdMinMs: number;
    readonly holdMaxMs: number;
    /** Time in milliseconds in which a new or returned upstream reaches its full share of requests. */
    readonly rampMs: number;
}
