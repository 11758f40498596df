import { err, ok, type Result } from "neverthrow";
import { createServer, type RequestListener, type Server } from "node:http";
import type { AddressInfo } from "node:net";
import { Code } from "../../core/code.ts";
import { createFailure } from "../../core/create_failure.ts";
import type { Failure } from "../../core/failure.ts";
import type { DrainableListener } from "../../lifecycle/drainable_listener.ts";
import { splitAddress } from "./split_address.ts";

/** Longer than the keep-alive time of clients, so that the server does not close a connection that is being reused. */
const KEEP_ALIVE_TIMEOUT_MS = 75_000;
/** Headers of a caller (16 KB at most) grow by a third when they travel in base64 between daemons. */
const MAX_HEADER_BYTES = 65_536;

/** An HTTP/1.1 server on one address. */
export class HttpListener implements DrainableListener {
    private constructor(private readonly server: Server) {}

    /** Opens `address` (`host:port`). Fails with PortUnavailable. */
    static async open(address: string, handler: RequestListener): Promise<Result<HttpListener, Failure>> {
        const server = createServer({
            keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS,
            maxHeaderSize: MAX_HEADER_BYTES,
        }, handler);
        return new Promise(resolve => {
            server.once("error", error => {
                resolve(err(createFailure(Code.PortUnavailable, { detail: `${address}: ${error.message}` })));
            });
            server.listen(splitAddress(address), () => resolve(ok(new HttpListener(server))));
        });
    }

    getPort(): number {
        return (this.server.address() as AddressInfo).port;
    }

    stop(): void {
        this.server.close();
        this.server.closeIdleConnections();
    }

    async close(): Promise<void> {
        const closed = new Promise<void>(resolve => {
            this.server.once("close", resolve);
        });
        const listening = this.server.listening;
        this.stop();
        this.server.closeAllConnections();
        if (listening) {
            await closed;
        }
    }
}
