import type { ServerResponse } from "node:http";

/** One for all, because an error with a stack for each request is expensive. */
const abortReason = new Error("the request was abandoned");

/** One request of a peer, until the last byte of its answer was handed to the connection or the connection has closed. */
export class ServerExchange {
    private static readonly byResponse = new WeakMap<ServerResponse, ServerExchange>();
    private readonly controller = new AbortController();
    private readonly endListeners: ((answered: boolean) => void)[] = [];
    private ended = false;

    /** `claimClose` says whether the answer is the last one of its connection, and makes it so. */
    constructor(
        private readonly response: ServerResponse,
        private readonly claimClose: () => boolean = () => true,
    ) {
        ServerExchange.byResponse.set(response, this);
        response.once("close", () => this.close());
    }

    /** The exchange that a response belongs to. */
    static get(response: ServerResponse): ServerExchange {
        return ServerExchange.byResponse.get(response) ?? new ServerExchange(response);
    }

    /** Aborted when the connection closes before the answer has been sent, or when the exchange is cancelled. */
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
     * Closes the connection with this answer, unless later requests of the connection have been handed on: Node.js cuts
     * those. Call it when the answer is ready and before its head is written.
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
