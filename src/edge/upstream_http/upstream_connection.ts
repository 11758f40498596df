import { Socket } from "node:net";
import { buildConnector, Client, type Dispatcher } from "undici";
import type { AnswerMemoryLimiter } from "./answer_memory_limiter.ts";
import { AnswerReadLimiter } from "./answer_read_limiter.ts";

const CONNECT_TIMEOUT_MS = 1_000;
/**
 * For upstreams that announce no keep-alive time; Node.js servers close idle connections after five seconds.
 */
const KEEP_ALIVE_TIMEOUT_MS = 4_000;
/** Upper limit for the keep-alive time that an upstream announces. */
const MAX_KEEP_ALIVE_TIMEOUT_MS = 60_000;

const connect = buildConnector({ timeout: CONNECT_TIMEOUT_MS });

/** Connection to an upstream that carries one request at a time and is reopened when it was closed. */
export class UpstreamConnection {
    private readonly client: Client;
    private readonly readLimiter: AnswerReadLimiter;

    constructor(address: string, memoryLimiter: AnswerMemoryLimiter) {
        this.readLimiter = new AnswerReadLimiter(memoryLimiter);
        this.client = new Client(`http://${address}`, {
            pipelining: 1,
            connect: (options, handle) =>
                connect(options, (...result) => {
                    const [, socket] = result;
                    if (socket instanceof Socket) {
                        this.readLimiter.setSocket(socket);
                    }
                    handle(...result);
                }),
            keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS,
            keepAliveMaxTimeout: MAX_KEEP_ALIVE_TIMEOUT_MS,
            maxHeaderSize: AnswerReadLimiter.maxParserHeaderBytes,
            headersTimeout: 0,
            bodyTimeout: 0,
        });
    }

    /** Sends a request; its body is paused. Call `release` when the body has been read. */
    async send(options: Dispatcher.RequestOptions): Promise<Dispatcher.ResponseData> {
        this.readLimiter.open();
        const response = await this.client.request({
            ...options,
            onInfo: () => this.readLimiter.addInterimResponse(),
        });
        const { body } = response;
        // A body may have to wait for memory; the listener below would otherwise start to read and drop it.
        body.pause();
        body.on("data", (chunk: Uint8Array) => this.readLimiter.addBodyBytes(chunk.length));
        // The connection can break before anybody reads the body.
        body.on("error", () => undefined);
        this.readLimiter.setBody(body);
        return response;
    }

    /** Ends a request whose answer is complete; any further bytes close the connection. */
    release(): void {
        this.readLimiter.close();
    }

    /** Closes the connection at once. */
    cancel(): void {
        this.readLimiter.close();
        void this.client.destroy();
    }

    close(): Promise<void> {
        return this.client.close();
    }
}
