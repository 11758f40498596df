import type { Context, Middleware } from "koa";
import type { Answer } from "../../core/answer.ts";
import type { InFlightRequest } from "../../lifecycle/in_flight_request.ts";
import { ServerExchange } from "./server_exchange.ts";

interface Options {
    /** Builds the answer to a request that is refused. */
    readonly createRefusal: () => Answer;
    /** Builds the answer to a request that is still running at the drain timeout; its outcome is unknown. */
    readonly createDrainTimeoutAnswer: () => Answer;
    /** Undefined when the daemon has closed. `sendAnswer` sends the answer for the drain timeout. */
    readonly registerRequest: (sendAnswer: () => void) => InFlightRequest | undefined;
    /** True when a new request is refused as not executed; always false for requests of other daemons. */
    readonly refuse: () => boolean;
    /** True while the daemon drains: responses then ask the peer to close its connection. */
    readonly isDraining: () => boolean;
}

/** Keeps each request registered as in flight until the last byte of its answer was passed to the socket. */
export function createInFlightMiddleware(options: Options): Middleware {
    return async (context, next) => {
        const exchange = ServerExchange.get(context.res);
        let stopAtDrainTimeout: () => void = () => undefined;
        const drainTimeout = new Promise<"drain-timeout">(resolve => {
            stopAtDrainTimeout = () => resolve("drain-timeout");
        });
        const inFlightRequest = options.refuse() ? undefined : options.registerRequest(stopAtDrainTimeout);
        if (inFlightRequest === undefined) {
            setAnswer(context, options.createRefusal());
            exchange.closeConnection();
            return;
        }
        exchange.addEndListener(answered => inFlightRequest.close(answered));
        if (await Promise.race([next(), drainTimeout]) === "drain-timeout") {
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
