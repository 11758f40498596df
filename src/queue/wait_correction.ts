/** Weight of a new sample in the moving averages. */
const newSampleWeight = 1 / 32;
/** Bounds of the factor, so that a few outliers make the queue neither refuse nor admit everything. */
const minFactor = 0.5;
const maxFactor = 2;

/** Corrects estimated waits by the ratio of measured to estimated waits. */
export class WaitCorrection {
    private measuredMs = 0;
    private estimatedMs = 0;

    /** `estimatedMs` is the uncorrected estimate of the request on its arrival. */
    record(estimatedMs: number, measuredMs: number): void {
        if (estimatedMs > 0) {
            this.estimatedMs += newSampleWeight * (estimatedMs - this.estimatedMs);
            this.measuredMs += newSampleWeight * (measuredMs - this.measuredMs);
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
