/** What owners logged about their upstreams, by service and time. */
interface Observation {
    readonly atMs: number;
    readonly upstream: string;
    readonly faultProbability: number;
    readonly queued: number;
}

/** Milliseconds for which an observation of an upstream tells its state. */
const maxAgeMs = 3_000;
/** Fault probability below which an upstream is trusted. */
const trustedLimit = 0.25;

/** Finds upstreams that could have served a request. */
export class UpstreamHistory {
    private readonly byUpstream = new Map<string, Observation[]>();
    private sorted = true;

    add(observation: Observation): void {
        const known = this.byUpstream.get(observation.upstream);
        if (known === undefined) {
            this.byUpstream.set(observation.upstream, [observation]);
        }
        else {
            known.push(observation);
        }
        this.sorted = false;
    }

    /** True when one of the upstreams was trusted by its owner and had no queue at that time. */
    hasTrusted(upstreams: ReadonlySet<string>, excluded: string, atMs: number): boolean {
        this.updateOrder();
        return [...upstreams].some(upstream => {
            const last = upstream === excluded ? undefined : this.findLast(upstream, atMs);
            return last !== undefined && atMs - last.atMs <= maxAgeMs
                && last.faultProbability < trustedLimit && last.queued === 0;
        });
    }

    private findLast(upstream: string, atMs: number): Observation | undefined {
        return this.byUpstream.get(upstream)?.findLast(observation => observation.atMs <= atMs);
    }

    private updateOrder(): void {
        if (!this.sorted) {
            this.byUpstream.forEach(list => list.sort((left, right) => left.atMs - right.atMs));
            this.sorted = true;
        }
    }
}
