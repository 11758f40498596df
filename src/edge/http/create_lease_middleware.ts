import type { Middleware } from "koa";
import type { Answer } from "../../core/answer.ts";
import type { RequestLease } from "../../lifecycle/request_lease.ts";
import { ServerExchange } from "./server_exchange.ts";

interface LeaseOptions {
    /** Builds the answer to a request that is refused. */
    readonly createRefusal: () => Answer;
    /** Undefined when the daemon has closed. */
    readonly registerRequest: () => RequestLease | undefined;
    /** True when new requests are refused as not executed; never for those of other daemons. */
    readonly refuse: () => boolean;
    /** True while the daemon drains: responses then ask the peer to close its connection. */
    readonly isDraining: () => boolean;
}

/** Keeps each request registered as in flight until the last byte of its response was handed to the connection. */
export function createLeaseMiddleware(options: LeaseOptions): Middleware {
    return async (context, next) => {
        const exchange = ServerExchange.get(context.res);
        const lease = options.refuse() ? undefined : options.registerRequest();
        if (lease === undefined) {
            const problem = options.createRefusal();
            context.status = problem.status;
            problem.headers.forEach(header => context.set(header.name, header.value));
            exchange.closeConnection();
            context.body = Buffer.from(problem.body);
            return;
        }
        exchange.handleEnd(answered => lease.close(answered));
        await next();
        if (options.isDraining()) {
            exchange.closeConnection();
        }
    };
}
