import { err, fromThrowable, ok, type Result } from "neverthrow";
import { z } from "zod";
import { Code } from "../../core/code.ts";
import { createFailure } from "../../core/create_failure.ts";
import type { Failure } from "../../core/failure.ts";
import type { PreviewQuery } from "../../preview/preview_query.ts";

const querySchema = z.object({
    method: z.string().min(1),
    host: z.string().default(""),
    target: z.string().startsWith("/"),
    budgetMs: z.number().positive().optional(),
    credential: z.string().optional(),
});

const parseJson = fromThrowable((text: string) => JSON.parse(text) as unknown);

/** Fails with BadRequestHeader. The detail names fields and holds none of their values, one of which is a key. */
export function decodePreviewQuery(text: string): Result<PreviewQuery, Failure> {
    const parsed = querySchema.safeParse(parseJson(text).unwrapOr(undefined));
    if (parsed.success) {
        return ok({ ...parsed.data, host: parsed.data.host.toLowerCase() });
    }
    const names = parsed.error.issues.map(({ path }) => path.join(".") || "query").join(", ");
    return err(createFailure(Code.BadRequestHeader, { detail: `not a valid preview: ${names}` }));
}
