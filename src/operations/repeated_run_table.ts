/** The requests that upstreams of this daemon run although an earlier attempt of them has reached an upstream. */
export class RepeatedRunTable {
    private readonly requestIds = new Set<string>();

    add(requestId: string): void {
        this.requestIds.add(requestId);
    }

    remove(requestId: string): void {
        this.requestIds.delete(requestId);
    }

    has(requestId: string): boolean {
        return this.requestIds.has(requestId);
    }
}
