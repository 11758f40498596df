import type { RevocationBounds } from "../authenticate/revocation_bounds.ts";
import type { Clock } from "../core/clock.ts";
import { LogLevel } from "../core/log_level.ts";
import type { Logger } from "../core/logger.ts";
import type { Metrics } from "../core/metrics.ts";
import type { Timer } from "../core/timer.ts";
import type { Timers } from "../core/timers.ts";
import type { ConfigProof } from "./config_proof.ts";

interface Options {
    readonly clock: Clock;
    readonly timers: Timers;
    readonly logger: Logger;
    readonly metrics: Metrics;
    readonly getBounds: () => RevocationBounds;
}

const periodMs = 500;

/** Reports the age of the proof of the configuration, and when it goes beyond the bound or returns. */
export class ConfigProofMonitor {
    private timer: Timer | undefined;
    private isProved = true;

    constructor(private readonly proof: ConfigProof, private readonly options: Options) {}

    start(): void {
        this.timer = this.options.timers.start(periodMs, () => {
            this.start();
            this.report();
        });
    }

    close(): void {
        this.timer?.close();
    }

    private report(): void {
        const { clock, getBounds, logger, metrics } = this.options;
        const { isStrict, maxAgeMs } = getBounds();
        const ageMs = clock.getMonotonicMs() - this.proof.getProvedMs();
        if (!isStrict || !Number.isFinite(ageMs)) {
            return;
        }
        const ageField = { ageMs: Math.round(ageMs) };
        metrics.setGauge("config.proof_age_ms", ageField.ageMs);
        const isProved = ageMs <= maxAgeMs;
        if (isProved !== this.isProved) {
            this.isProved = isProved;
            logger.write(
                isProved ? LogLevel.Info : LogLevel.Warn,
                isProved ? "config_proved" : "config_unproved",
                {
                    ...ageField,
                },
            );
        }
    }
}
