import type { Context, Middleware } from "koa";
import type { Answer } from "../../core/answer.ts";
import type { RequestLease } from "../../lifecycle/request_lease.ts";
import { ServerExchange } from "./server_exchange.ts";

interface Options {
    /** Builds the answer to a request that is refused. */
    readonly createRefusal: () => Answer;
    /** Builds the answer to a request whose outcome is not known when the process is about to end. */
    readonly createDrainTimeoutAnswer: () => Answer;
    /** Undefined when the daemon has closed. `answer` ends the request with the last answer. */
    readonly registerRequest: (sendAnswer: () => void) => RequestLease | undefined;
    /** True when new requests are refused as not executed; never for those of other daemons. */
    readonly refuse: () => boolean;
    /** True while the daemon drains: responses then ask the peer to close its connection. */
    readonly isDraining: () => boolean;
}

/** Keeps each request registered as in flight until the last byte of its response was handed to the connection. */
export function createInFlightMiddleware(options: Options): Middleware {
    return async (context, next) => {
        const exchange = ServerExchange.get(context.res);
        let stopAtDrainTimeout: () => void = () => undefined;
        const drainTimeout = new Promise<"ending">(resolve => {
            stopAtDrainTimeout = () => resolve("ending");
        });
        const lease = options.refuse() ? undefined : options.registerRequest(stopAtDrainTimeout);
        if (lease === undefined) {
            setAnswer(context, options.createRefusal());
            exchange.closeConnection();
            return;
        }
        exchange.addEndListener(answered => lease.close(answered));
        if (await Promise.race([next(), drainTimeout]) === "ending") {
            exchange.cancel();
            setAnswer(context, options.createDrainTimeoutAnswer());
        }
        if (options.isDraining()) {
            exchange.closeConnection();
        }
    };
}

function setAnswer(context: Context, answer: Answer): void {
    context.status = answer.status;
    answer.headers.forEach(header => context.set(header.name, header.value));
    context.body = Buffer.from(answer.body);
}
