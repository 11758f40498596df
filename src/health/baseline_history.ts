/** Baselines kept for each route. */
const maxBaselines = 9;

/** Baselines older than this in milliseconds are ignored. */
const baselineMaxAgeMs = 3_000;

interface Baseline {
    readonly baselineMs: number;
    readonly atMs: number;
}

/**
 * The baselines that an owner recently received from all entry daemons. Their median is used for requests of
 * an entry daemon that has received too few answers to compute one.
 */
export class BaselineHistory {
    private readonly routes = new Map<string, Baseline[]>();

    /** Adds the baseline of a request; 0 is ignored. */
    add(route: string, baselineMs: number, atMs: number): void {
        if (!(baselineMs > 0)) {
            return;
        }
        const baselines = this.routes.get(route) ?? [];
        this.routes.set(route, baselines);
        baselines.push({ baselineMs, atMs });
        baselines.splice(0, baselines.length - maxBaselines);
    }

    /** Median of the recent baselines of the route in milliseconds; 0 when there is none. */
    compute(route: string, nowMs: number): number {
        const recent = (this.routes.get(route) ?? [])
            .filter(({ atMs }) => nowMs - atMs <= baselineMaxAgeMs)
            .map(({ baselineMs }) => baselineMs)
            .sort((left, right) => left - right);
        return recent[recent.length >> 1] ?? 0;
    }
}
