/** Weight of one measurement. */
const weight = 1 / 32;
/** Bounds of the factor, so that a few odd measurements neither close nor open the queue. */
const minFactor = 0.5;
const maxFactor = 2;

/** Corrects estimated waits by the ratio of measured to estimated waits. */
export class WaitCorrection {
    private measuredMs = 0;
    private estimatedMs = 0;

    /** `estimatedMs` is the uncorrected estimate of the request on its arrival. */
    record(estimatedMs: number, measuredMs: number): void {
        if (estimatedMs > 0) {
            this.estimatedMs += weight * (estimatedMs - this.estimatedMs);
            this.measuredMs += weight * (measuredMs - this.measuredMs);
        }
    }

    /** Corrected wait in milliseconds. */
    apply(estimatedMs: number): number {
        if (this.estimatedMs === 0) {
            return estimatedMs;
        }
        const factor = this.measuredMs / this.estimatedMs;
        return estimatedMs * Math.min(maxFactor, Math.max(minFactor, factor));
    }
}
