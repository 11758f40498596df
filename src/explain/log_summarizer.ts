/**
 * Sums up the logs of many daemons: how many requests of each service were served, and one cause for each that
 * was not.
 *
 * @example
 * ```ts
 * const summarizer = new LogSummarizer({});
 * for await (const line of lines) {
 *     summarizer.add(line);
 * }
 * summarizer.build();
 * ```
 *
 * @module
 */
import { Result } from "neverthrow";
import { z } from "zod";
import { Code } from "../core/code.ts";
import { decideFailureCause } from "./decide_failure_cause.ts";
import type { RequestRecord } from "./request_record.ts";
import type { ServiceSummary } from "./service_summary.ts";
import { UpstreamHistory } from "./upstream_history.ts";

interface Options {
    /** Only lines from this time on and before that time, in ISO 8601. */
    readonly since?: string | undefined;
    readonly until?: string | undefined;
    /** Only requests for this service. */
    readonly service?: string | undefined;
}

const lineSchema = z.looseObject({
    time: z.string(),
    event: z.string().optional(),
    requestId: z.string().optional(),
});

const attemptSchema = z.object({
    attempt: z.number(),
    service: z.string(),
    idempotent: z.boolean(),
    upstream: z.string(),
    code: z.number(),
    faultProbability: z.number().default(0),
    ageMs: z.number().default(-1),
});
const ownerSchema = z.object({ upstream: z.string(), faultProbability: z.number(), queued: z.number() });
const stopSchema = z.object({ service: z.string(), idempotent: z.boolean(), reason: z.string() });

const parseJson = Result.fromThrowable((text: string) => JSON.parse(text) as unknown);
const firstServerErrorStatus = 500;
/** Codes of attempts that reached an upstream. */
const firstRefusalCode = 2_000;

/** Accumulates lines in any order. */
export class LogSummarizer {
    private readonly requests = new Map<string, RequestRecord>();
    private readonly history = new UpstreamHistory();
    private readonly upstreams = new Map<string, Set<string>>();
    private unreadable = 0;

    constructor(private readonly options: Options) {}

    add(line: string): void {
        if (line.trim() === "") {
            return;
        }
        const parsed = lineSchema.safeParse(parseJson(line.slice(line.indexOf("{"))).unwrapOr(undefined));
        if (!parsed.success) {
            this.unreadable += 1;
            return;
        }
        const { event, requestId, time } = parsed.data;
        const { since, until } = this.options;
        if (
            requestId === undefined || since !== undefined && time < since ||
            until !== undefined && time >= until
        ) {
            return;
        }
        this.addEvent(event ?? "", requestId, Date.parse(time), parsed.data);
    }

    /** Lines that are not lines of the log. */
    countUnreadable(): number {
        return this.unreadable;
    }

    build(): readonly ServiceSummary[] {
        const groups = new Map<string, RequestRecord[]>();
        for (const request of this.requests.values()) {
            if (this.options.service === undefined || request.service === this.options.service) {
                const key = `${request.service} ${request.idempotent}`;
                groups.set(key, [...groups.get(key) ?? [], request]);
            }
        }
        const failedCalls = this.findFailedCalls();
        return [...groups].sort(([left], [right]) => left < right ? -1 : 1)
            .map(([, requests]) => this.buildService(requests, failedCalls));
    }

    private addEvent(event: string, requestId: string, atMs: number, fields: unknown): void {
        if (event === "attempt") {
            this.addAttempt(requestId, atMs, attemptSchema.safeParse(fields).data);
        }
        else if (event === "owner_attempt") {
            const owner = ownerSchema.safeParse(fields).data;
            if (owner !== undefined) {
                this.history.add({ ...owner, atMs });
            }
        }
        else if (event === "attempts_stopped") {
            const stop = stopSchema.safeParse(fields).data;
            if (stop !== undefined) {
                const { idempotent, reason: stopReason, service } = stop;
                Object.assign(this.getRequest(requestId), { service, idempotent, stopReason });
            }
        }
        else if (event === "request_answered" || event === "request_failed") {
            const end = z.object({ status: z.number().default(0), code: z.number().default(0) }).safeParse(
                fields,
            );
            Object.assign(this.getRequest(requestId), { ...end.data, ended: true });
        }
    }

    private addAttempt(
        requestId: string,
        atMs: number,
        fields: z.infer<typeof attemptSchema> | undefined,
    ): void {
        if (fields === undefined) {
            return;
        }
        const { idempotent, service, ...attempt } = fields;
        const request = this.getRequest(requestId);
        Object.assign(request, { service, idempotent });
        request.attempts.push({ ...attempt, atMs });
        const known = this.upstreams.get(service);
        if (known === undefined) {
            this.upstreams.set(service, new Set([attempt.upstream]));
        }
        else {
            known.add(attempt.upstream);
        }
    }

    private getRequest(requestId: string): RequestRecord {
        let request = this.requests.get(requestId);
        if (request === undefined) {
            const none = { stopReason: "", status: 0, code: 0, ended: false };
            request = { requestId, service: "", idempotent: false, attempts: [], ...none };
            this.requests.set(requestId, request);
        }
        return request;
    }

    /** Requests with a failed call. The identifier of a call extends that of the request that makes it. */
    private findFailedCalls(): ReadonlySet<string> {
        const parents = new Set<string>();
        for (const request of this.requests.values()) {
            const dot = request.requestId.lastIndexOf(".");
            if (dot > 0 && !isServed(request)) {
                parents.add(request.requestId.slice(0, dot));
            }
        }
        return parents;
    }

    private buildService(
        requests: readonly RequestRecord[],
        failedCalls: ReadonlySet<string>,
    ): ServiceSummary {
        const causes: Record<string, number> = {};
        const refusedAttempts: Record<string, number> = {};
        const ages: number[] = [];
        let attempts = 0;
        for (const request of requests) {
            if (!isServed(request)) {
                addOne(causes, this.decideCause(request, failedCalls));
            }
            for (const { ageMs, code } of request.attempts) {
                attempts += 1;
                ages.push(ageMs);
                if (code >= firstRefusalCode && code !== Code.UpstreamUnexpected) {
                    addOne(refusedAttempts, `${code}`);
                }
            }
        }
        const { idempotent, service } = requests[0]!;
        const served = requests.filter(isServed).length;
        const stateAgeP90Ms = ages.sort((left, right) => left - right)[Math.floor(ages.length * 0.9)] ?? 0;
        return {
            service,
            idempotent,
            requests: requests.length,
            served,
            causes,
            attempts,
            refusedAttempts,
            stateAgeP90Ms,
        };
    }

    private decideCause(request: RequestRecord, failedCalls: ReadonlySet<string>): string {
        const upstreams = this.upstreams.get(request.service) ?? new Set();
        return decideFailureCause(request, {
            hasFailedCall: failedCalls.has(request.requestId),
            hasTrusted: (excluded, atMs) => this.history.hasTrusted(upstreams, excluded, atMs),
        });
    }
}

function isServed({ code, ended, status }: RequestRecord): boolean {
    return ended && code === Code.Ok && status < firstServerErrorStatus;
}

function addOne(counts: Record<string, number>, key: string): void {
    counts[key] = (counts[key] ?? 0) + 1;
}
