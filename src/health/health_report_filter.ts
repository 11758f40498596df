import { ok, type Result } from "neverthrow";
import type { Clock } from "../core/clock.ts";
import type { Failure } from "../core/failure.ts";
import type { Filter } from "../core/filter.ts";
import type { OwnerReply } from "../forward/owner_reply.ts";
import type { HealthReportExchange } from "./health_report_exchange.ts";

interface Options {
    readonly clock: Clock;
    readonly scoreTable: HealthReportExchange;
}

/**
 * Last filter of the owner pipeline for requests of other daemons: adds the raised scores that this daemon
 * knows to the reply.
 */
export class HealthReportFilter implements Filter<OwnerReply, OwnerReply> {
    constructor(private readonly options: Options) {}

    apply(reply: OwnerReply): Result<OwnerReply, Failure> {
        const healthReports = this.options.scoreTable.listReports(
            this.options.clock.getMonotonicMs(),
            reply.upstream?.upstreamId,
        );
        return ok(healthReports.length === 0 ? reply : { ...reply, healthReports });
    }
}
