/** An attempt between its arrival at the owner and its end. */
export class RunningAttempt {
    private dispatched = false;
    private readonly controller = new AbortController();

    /** Aborted when the attempt is revoked before dispatch. */
    get signal(): AbortSignal {
        return this.controller.signal;
    }

    /** False when the attempt was already revoked or dispatched. */
    recordDispatch(): boolean {
        if (this.dispatched || this.controller.signal.aborted) {
            return false;
        }
        this.dispatched = true;
        return true;
    }

    /** False when the attempt was already dispatched, which a revocation cannot undo. */
    revoke(): boolean {
        if (!this.dispatched) {
            this.controller.abort();
        }
        return !this.dispatched;
    }
}
