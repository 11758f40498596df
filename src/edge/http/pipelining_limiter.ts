/**
 * Most requests of one connection that are not answered. Each takes some KB while it waits, and one read of 64 KB can
 * hold 2,500 of them.
 */
const maxConnectionRequests = 32;

/**
 * Decides whether a peer may send a request ahead of the answers to earlier ones of its connection. All connections
 * together may do so up to a number of unanswered requests; the first request of a connection is always allowed.
 */
export class PipeliningLimiter {
    private requests = 0;

    constructor(private readonly maxRequests: number) {}

    /** `connectionRequests` are those of the connection that are not answered. */
    isAllowed(connectionRequests: number): boolean {
        return connectionRequests === 0 ||
            connectionRequests < maxConnectionRequests && this.requests < this.maxRequests;
    }

    /** Counts a request until `remove`. */
    add(): void {
        this.requests += 1;
    }

    remove(): void {
        this.requests -= 1;
    }
}
