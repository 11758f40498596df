/**
 * First filter of the entry pipeline: assigns an identifier to each request and decodes the headers that
 * zinniaglade uses.
 *
 * @example
 * ```ts
 * const filter = new ReceiveFilter({ clock, random, codec: new HeaderCallerCodec() });
 * const request = filter.apply({ method: "GET", host: "", target: "/meters/7", headers: [], body, signal });
 * ```
 *
 * @module
 */
import type { Result } from "neverthrow";
import type { Clock } from "../core/clock.ts";
import type { Failure } from "../core/failure.ts";
import type { Filter } from "../core/filter.ts";
import type { RandomSource } from "../core/random_source.ts";
import type { CallerCodec } from "./caller_codec.ts";
import type { CallerRequest } from "./caller_request.ts";
import type { IncomingRequest } from "./incoming_request.ts";

interface Options {
    readonly clock: Clock;
    readonly random: RandomSource;
    readonly codec: CallerCodec;
}

/** Builds a CallerRequest. Fails with BadRequestHeader. */
export class ReceiveFilter implements Filter<IncomingRequest, CallerRequest> {
    constructor(private readonly options: Options) {}

    apply(incoming: IncomingRequest): Result<CallerRequest, Failure> {
        const { clock, codec } = this.options;
        return codec.decode(incoming).map(metadata => ({
            ...metadata,
            requestId: metadata.requestId ?? this.createRequestId(),
            method: incoming.method,
            host: incoming.host.toLowerCase().replace(/:\d*$/, ""),
            path: incoming.target.split("?", 1)[0] ?? incoming.target,
            target: incoming.target,
            body: incoming.body,
            receivedAtMs: clock.getMonotonicMs(),
            signal: incoming.signal,
        }));
    }

    /** 128 random bits in hexadecimal. */
    private createRequestId(): string {
        let identifier = "";
        for (let part = 0; part < 4; part += 1) {
            identifier += Math.floor(this.options.random.getFloat() * 2 ** 32).toString(16).padStart(8, "0");
        }
        return identifier;
    }
}
