import type { RoutedRequest } from "../route/routed_request.ts";
import type { PreviewVerdict } from "./preview_verdict.ts";

/** A filter of the entry pipeline as a preview sees it: the same decision, without counting or sending. */
export interface PreviewStage {
    /** `nowMs` is monotonic. */
    decide(request: RoutedRequest, nowMs: number): PreviewVerdict;
}
