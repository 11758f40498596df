/** Shared by all aborted requests, because creating an error with a stack for each one is expensive. */
const abortReason = new Error("the request was aborted");

/**
 * Signal that is aborted at a deadline or with another signal. `AbortSignal.any` with `AbortSignal.timeout`
 * does the same at several times the cost per request.
 */
export class RequestDeadline {
    private readonly controller = new AbortController();
    private readonly timer: NodeJS.Timeout;
    private readonly abort = () => this.controller.abort(abortReason);
    private timedOut = false;

    constructor(private readonly parent: AbortSignal, timeoutMs: number) {
        this.timer = setTimeout(() => {
            this.timedOut = true;
            this.abort();
        }, timeoutMs);
        parent.addEventListener("abort", this.abort, { once: true });
        if (parent.aborted) {
            this.abort();
        }
    }

    getSignal(): AbortSignal {
        return this.controller.signal;
    }

    hasTimedOut(): boolean {
        return this.timedOut;
    }

    /** Must be called when the request has ended. */
    close(): void {
        clearTimeout(this.timer);
        this.parent.removeEventListener("abort", this.abort);
    }
}
