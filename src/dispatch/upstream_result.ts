import type { Answer } from "../core/answer.ts";
import type { ReportedLoad } from "./reported_load.ts";
import type { UpstreamResultKind } from "./upstream_result_kind.ts";

/** Result of one exchange with an upstream. */
export interface UpstreamResult {
    readonly kind: UpstreamResultKind;
    /** Present for `Answered`. */
    readonly answer: Answer | undefined;
    readonly detail: string;
    /** Present when the upstream reported its load. */
    readonly load?: ReportedLoad;
}
