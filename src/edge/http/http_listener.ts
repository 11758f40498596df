import { err, ok, type Result } from "neverthrow";
import { createServer, type RequestListener, type Server } from "node:http";
import type { AddressInfo } from "node:net";
import { Code } from "../../core/code.ts";
import { createFailure } from "../../core/create_failure.ts";
import type { Failure } from "../../core/failure.ts";
import { splitAddress } from "./split_address.ts";

/** Longer than the keep-alive time of clients, so that the server does not close a connection that is being reused. */
const KEEP_ALIVE_TIMEOUT_MS = 75_000;
/** Headers of a caller (16 KB at most) grow by a third when they travel in base64 between daemons. */
const MAX_HEADER_BYTES = 65_536;

/** An HTTP/1.1 server on one address. */
export class HttpListener {
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

    /** Accepts no more connections; resolves when the open ones have ended. Idle ones are closed at once. */
    async close(): Promise<void> {
        await new Promise<void>(resolve => {
            this.server.close(() => resolve());
            this.server.closeIdleConnections();
        });
    }

    /** Ends all connections, also those with a request. */
    closeAllConnections(): void {
        this.server.closeAllConnections();
    }
}
