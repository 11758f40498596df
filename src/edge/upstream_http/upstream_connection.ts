import { Client, type Dispatcher } from "undici";

const CONNECT_TIMEOUT_MS = 1_000;
/** For upstreams that do not say when they close idle connections; Node.js servers do after five seconds. */
const KEEP_ALIVE_TIMEOUT_MS = 4_000;
/** Longest time that an upstream's own statement is believed. */
const MAX_KEEP_ALIVE_TIMEOUT_MS = 60_000;

/** One connection to an upstream, opened again when it was closed; carries one request at a time. */
export class UpstreamConnection {
    private readonly client: Client;

    constructor(address: string) {
        this.client = new Client(`http://${address}`, {
            pipelining: 1,
            connect: { timeout: CONNECT_TIMEOUT_MS },
            keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS,
            keepAliveMaxTimeout: MAX_KEEP_ALIVE_TIMEOUT_MS,
            headersTimeout: 0,
            bodyTimeout: 0,
        });
    }

    send(options: Dispatcher.RequestOptions): Promise<Dispatcher.ResponseData> {
        return this.client.request(options);
    }

    /** Closes the connection at once. */
    cancel(): void {
        void this.client.destroy();
    }

    close(): Promise<void> {
        return this.client.close();
    }
}
