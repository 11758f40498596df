import { buildConnector, Client, type Dispatcher } from "undici";

const CONNECT_TIMEOUT_MS = 1_000;
/** For upstreams that do not say when they close idle connections; Node.js servers do after five seconds. */
const KEEP_ALIVE_TIMEOUT_MS = 4_000;
/** Longest time that an upstream's own statement is believed. */
const MAX_KEEP_ALIVE_TIMEOUT_MS = 60_000;

const connect = buildConnector({ timeout: CONNECT_TIMEOUT_MS });

/** One connection to an upstream, opened again when it was closed; carries one request at a time. */
export class UpstreamConnection {
    private readonly client: Client;
    private failed = false;

    constructor(address: string) {
        this.client = new Client(`http://${address}`, {
            pipelining: 1,
            keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS,
            keepAliveMaxTimeout: MAX_KEEP_ALIVE_TIMEOUT_MS,
            headersTimeout: 0,
            bodyTimeout: 0,
            connect: (options, callback) => this.open(options, callback),
        });
    }

    send(options: Dispatcher.RequestOptions): Promise<Dispatcher.ResponseData> {
        this.failed = false;
        return this.client.request(options);
    }

    /**
     * True when the connection broke since the last request was sent. undici takes a reset for the end of
     * a response that declares no length.
     */
    hasFailed(): boolean {
        return this.failed;
    }

    /** Closes the connection at once. */
    cancel(): void {
        void this.client.destroy();
    }

    close(): Promise<void> {
        return this.client.close();
    }

    private open(options: buildConnector.Options, callback: buildConnector.Callback): void {
        connect(options, (error, socket) => {
            socket?.on("error", (cause: NodeJS.ErrnoException) => {
                // undici itself ends the socket with errors of its own; those of the system name the call.
                this.failed ||= cause.syscall !== undefined;
            });
            callback(...([error, socket] as Parameters<buildConnector.Callback>));
        });
    }
}
