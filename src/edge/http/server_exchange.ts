import type { ServerResponse } from "node:http";

/** Shared by all aborted requests, because creating an error with a stack for each one is expensive. */
const abortReason = new Error("the request was aborted");

/**
 * One request and its answer, until the last byte of the answer was passed to the socket or the connection
 * has closed.
 */
export class ServerExchange {
    private static readonly byResponse = new WeakMap<ServerResponse, ServerExchange>();
    private readonly controller = new AbortController();
    private readonly endListeners: ((answered: boolean) => void)[] = [];
    private ended = false;

    /** `claimClose` returns true, and makes the connection close after this answer, if no later request exists. */
    constructor(
        private readonly response: ServerResponse,
        private readonly claimClose: () => boolean = () => true,
    ) {
        ServerExchange.byResponse.set(response, this);
        response.once("close", () => this.close());
    }

    /** Returns the exchange of a response. */
    static get(response: ServerResponse): ServerExchange {
        return ServerExchange.byResponse.get(response) ?? new ServerExchange(response);
    }

    /** Aborted when the connection closes before the answer was sent, or when the exchange is cancelled. */
    getSignal(): AbortSignal {
        return this.controller.signal;
    }

    /** Aborts the work for this exchange; its answer can still be sent. */
    cancel(): void {
        this.controller.abort(abortReason);
    }

    /** Calls `listener` when the exchange has ended; `answered` is false when its connection closed first. */
    addEndListener(listener: (answered: boolean) => void): void {
        this.endListeners.push(listener);
    }

    /**
     * Closes the connection after this answer, unless later requests of the connection are being handled:
     * Node.js would drop their answers. Must be called when the answer is ready, before its head is written.
     */
    closeConnection(): void {
        if (this.claimClose()) {
            this.response.setHeader("connection", "close");
        }
    }

    /** Ends the exchange; further calls do nothing. */
    close(): void {
        if (this.ended) {
            return;
        }
        this.ended = true;
        const answered = this.response.writableFinished;
        if (!answered) {
            this.cancel();
        }
        this.endListeners.forEach(listener => listener(answered));
    }
}
