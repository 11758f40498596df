/**
 * Reads the platform's configuration service and instance list over HTTP.
 *
 * @module
 */
import got, { type Got } from "got";
import { err, ok, type Result } from "neverthrow";
import { z } from "zod";
import { Code } from "../../core/code.ts";
import { createFailure } from "../../core/create_failure.ts";
import type { Failure } from "../../core/failure.ts";
import type { InstanceList } from "../../published/instance_list.ts";
import type { PlatformReader } from "../../published/platform_reader.ts";
import type { PlatformValue } from "../../published/platform_value.ts";

/** The platform answers in milliseconds, so a longer delay means that the network or the platform is down. */
const RESPONSE_TIMEOUT_MS = 2_000;

const valueSchema = z.object({ name: z.string(), version: z.int(), content: z.string() });
const instancesSchema = z.object({
    version: z.int(),
    upstreams: z.array(z.object({
        id: z.string(),
        service: z.string(),
        failureDomain: z.string(),
        region: z.string(),
        ownerId: z.string(),
        ownerAddress: z.string(),
        leaving: z.boolean(),
    })),
});

/** Reads with got; each call sends one request, which is never retried here. */
export class GotPlatformReader implements PlatformReader {
    private readonly client: Got;
    private readonly controller = new AbortController();

    constructor(options: { readonly url: string; }) {
        this.client = got.extend({
            prefixUrl: options.url,
            retry: { limit: 0 },
            throwHttpErrors: false,
            signal: this.controller.signal,
        });
    }

    async fetchValue(
        name: string,
        afterVersion: number,
        waitMs: number,
    ): Promise<Result<PlatformValue | undefined, Failure>> {
        return this.fetch(`v1/values/${encodeURIComponent(name)}`, afterVersion, waitMs, valueSchema);
    }

    async fetchInstances(
        afterVersion: number,
        waitMs: number,
    ): Promise<Result<InstanceList | undefined, Failure>> {
        return this.fetch("v1/instances", afterVersion, waitMs, instancesSchema);
    }

    close(): void {
        this.controller.abort();
    }

    private async fetch<Value>(
        path: string,
        afterVersion: number,
        waitMs: number,
        schema: z.ZodType<Value>,
    ): Promise<Result<Value | undefined, Failure>> {
        try {
            const response = await this.client.get(path, {
                searchParams: { after: afterVersion, waitMs },
                timeout: { request: waitMs + RESPONSE_TIMEOUT_MS },
            });
            if (response.statusCode === 304 || response.statusCode === 404) {
                return ok(undefined);
            }
            if (response.statusCode !== 200) {
                return err(
                    createFailure(Code.PlatformUnreachable, { detail: `status ${response.statusCode}` }),
                );
            }
            const value = schema.safeParse(JSON.parse(response.body));
            return value.success
                ? ok(value.data)
                : err(createFailure(Code.PlatformBadValue, { detail: z.prettifyError(value.error) }));
        }
        catch (error) {
            const detail = error instanceof Error ? error.message : String(error);
            const code = error instanceof SyntaxError ? Code.PlatformBadValue : Code.PlatformUnreachable;
            return err(createFailure(code, { detail }));
        }
    }
}
