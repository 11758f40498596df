/**
 * Client of the administration interface.
 *
 * @module
 */
import got, { type Method } from "got";
import { err, ok, type Result } from "neverthrow";
import { Code } from "../../core/code.ts";
import { createFailure } from "../../core/create_failure.ts";
import type { Failure } from "../../core/failure.ts";
import type { DecisionTrace } from "../../preview/decision_trace.ts";
import type { PreviewQuery } from "../../preview/preview_query.ts";

const STATUS_TIMEOUT_MS = 5_000;

interface AdminClientOptions {
    /** `host:port` of the daemon's administration interface. */
    readonly address: string;
    /** Milliseconds that a drain may take. */
    readonly drainTimeoutMs: number;
}

/** Sends requests to one daemon. Fails with AdminUnreachable, or with the failure that the daemon reports. */
export class AdminClient {
    constructor(private readonly options: AdminClientOptions) {}

    fetchStatus(): Promise<Result<unknown, Failure>> {
        return this.send("GET", "v1/status", STATUS_TIMEOUT_MS);
    }

    async fetchPreview(query: PreviewQuery): Promise<Result<DecisionTrace, Failure>> {
        const result = await this.send("POST", "v1/preview", STATUS_TIMEOUT_MS, query);
        return result.map(trace => trace as DecisionTrace);
    }

    drain(): Promise<Result<unknown, Failure>> {
        return this.send("POST", "v1/drain", this.options.drainTimeoutMs);
    }

    private async send(
        method: Method,
        path: string,
        timeoutMs: number,
        content?: object,
    ): Promise<Result<unknown, Failure>> {
        try {
            const response = await got(`http://${this.options.address}/${path}`, {
                method,
                ...(content === undefined ? {} : { json: content }),
                retry: { limit: 0 },
                timeout: { request: timeoutMs },
                throwHttpErrors: false,
            });
            const body = JSON.parse(response.body) as unknown;
            return response.statusCode === 200 ? ok(body) : err(body as Failure);
        }
        catch (error) {
            const detail = `${this.options.address}: ${
                error instanceof Error ? error.message : String(error)
            }`;
            return err(createFailure(Code.AdminUnreachable, { detail }));
        }
    }
}
