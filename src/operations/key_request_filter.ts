import { ok, type Result } from "neverthrow";
import type { Answer } from "../core/answer.ts";
import type { Failure } from "../core/failure.ts";
import type { Filter } from "../core/filter.ts";
import type { CallerRequest } from "../receive/caller_request.ts";
import type { KeyIssuer } from "./key_issuer.ts";

const KEY_PATH = "/.zinniaglade/keys";

interface Options {
    readonly issuer: KeyIssuer;
    readonly inner: Filter<CallerRequest, Answer>;
}

/** Answers `POST /.zinniaglade/keys?service=NAME` with a new key and passes other requests to `inner`. */
export class KeyRequestFilter implements Filter<CallerRequest, Answer> {
    constructor(private readonly options: Options) {}

    apply(request: CallerRequest): Result<Answer, Failure> | Promise<Result<Answer, Failure>> {
        if (request.path !== KEY_PATH || request.method !== "POST") {
            return this.options.inner.apply(request);
        }
        const service = new URLSearchParams(request.target.split("?")[1]).get("service") ?? "";
        return this.options.issuer.create(service).andThen(key =>
            ok({
                status: 201,
                headers: [{ name: "content-type", value: "application/json" }],
                body: Buffer.from(JSON.stringify({ key })),
            })
        );
    }
}
