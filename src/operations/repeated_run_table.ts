/** The requests that upstreams of this daemon run although an earlier attempt of them has reached an upstream. */
export class RepeatedRunTable {
    /** Runs of each identifier; a hedge can reach another upstream of this daemon. */
    private readonly counts = new Map<string, number>();

    add(requestId: string): void {
        this.counts.set(requestId, (this.counts.get(requestId) ?? 0) + 1);
    }

    remove(requestId: string): void {
        const count = (this.counts.get(requestId) ?? 0) - 1;
        if (count > 0) {
            this.counts.set(requestId, count);
        }
        else {
            this.counts.delete(requestId);
        }
    }

    has(requestId: string): boolean {
        return this.counts.has(requestId);
    }
}
