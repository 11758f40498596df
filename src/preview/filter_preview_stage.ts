import type { Result } from "neverthrow";
import type { Failure } from "../core/failure.ts";
import type { RoutedRequest } from "../route/routed_request.ts";
import type { PreviewStage } from "./preview_stage.ts";
import type { PreviewVerdict } from "./preview_verdict.ts";

/** A filter that changes no state and decides at once. */
interface StatelessFilter {
    apply(request: RoutedRequest): Result<RoutedRequest, Failure>;
}

/** Previews a filter by applying it. */
export class FilterPreviewStage implements PreviewStage {
    constructor(private readonly name: string, private readonly filter: StatelessFilter) {}

    decide(request: RoutedRequest): PreviewVerdict {
        const result = this.filter.apply(request);
        if (result.isErr()) {
            const failure = result.error;
            const values = { code: failure.code };
            return {
                steps: [{ stage: this.name, decision: `refused: ${failure.detail}`, values }],
                request,
                failure,
            };
        }
        const { organisation, route } = result.value;
        const values = { organisation, priority: route.priority };
        return { steps: [{ stage: this.name, decision: "allowed", values }], request: result.value };
    }
}
