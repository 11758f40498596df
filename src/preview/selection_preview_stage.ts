import type { HedgingPolicy } from "../forward/hedging_policy.ts";
import type { RoutedRequest } from "../route/routed_request.ts";
import type { ObservedLoad } from "../select/observed_load.ts";
import type { SelectedRequest } from "../select/selected_request.ts";
import type { UpstreamSelector } from "../select/upstream_selector.ts";
import type { DecisionStep } from "./decision_step.ts";
import type { PreviewStage } from "./preview_stage.ts";
import type { PreviewVerdict } from "./preview_verdict.ts";

interface Options {
    readonly selector: UpstreamSelector & { findLoad(upstreamId: string): ObservedLoad | undefined; };
    readonly hedging: HedgingPolicy;
}

/** Candidates that a preview lists. */
const maxCandidates = 5;

/**
 * Previews the selection. The selector is asked again without the upstreams that it has selected, so that the
 * candidates come in the order in which attempts would use them. A selector counts an attempt only when it
 * starts, so a preview leaves nothing behind that the next request would not.
 */
export class SelectionPreviewStage implements PreviewStage {
    constructor(private readonly options: Options) {}

    decide(request: RoutedRequest, nowMs: number): PreviewVerdict {
        const { hedging, selector } = this.options;
        const steps: DecisionStep[] = [];
        const excluded = new Set<string>();
        const first = selector.select(request, 1, excluded);
        if (first.isErr()) {
            const { code, detail } = first.error;
            steps.push({ stage: "select", decision: `refused: ${detail}`, values: { code } });
            return { steps, request, failure: first.error };
        }
        const upstreamId = first.value.upstream.id;
        const delayMs = hedging.computeDelayMs(request, upstreamId, nowMs);
        steps.push(this.buildStep(first.value, nowMs, `goes to ${upstreamId}, the first choice`));
        excluded.add(upstreamId);
        while (excluded.size < maxCandidates) {
            const next = selector.select(request, 1, excluded);
            if (next.isErr()) {
                break;
            }
            const { id } = next.value.upstream;
            steps.push(
                this.buildStep(next.value, nowMs, `${id} would be next, if the others fail or refuse`),
            );
            excluded.add(id);
        }
        steps.push({
            stage: "hedge",
            decision: delayMs === undefined
                ? "no second attempt while the first one runs"
                : "a second attempt when the first one is late, if share, slots and retry budget allow it",
            values: delayMs === undefined ? {} : { delayMs: Math.round(delayMs) },
        });
        return { steps, request, upstreamId };
    }

    private buildStep(selected: SelectedRequest, nowMs: number, decision: string): DecisionStep {
        const { basis, redirectable, trial, upstream } = selected;
        const load = this.options.selector.findLoad(upstream.id);
        const known = basis === undefined ? {} : {
            ...(basis.loss === undefined ? {} : { expectedLoss: formatNumber(basis.loss) }),
            faultProbability: formatNumber(basis.faultProbability),
            candidates: basis.candidates,
            ...(Number.isFinite(basis.ageMs) ? { stateAgeMs: Math.round(basis.ageMs) } : {}),
        };
        return {
            stage: "select",
            decision,
            values: {
                upstream: upstream.id,
                owner: upstream.ownerId,
                failureDomain: upstream.failureDomain,
                load: formatNumber(load?.measure(nowMs) ?? 0),
                waitMs: Math.round(load?.getWaitMs() ?? 0),
                mayRedirect: redirectable ?? false,
                trial,
                ...known,
            },
        };
    }
}

function formatNumber(value: number): number {
    return Number(value.toFixed(3));
}
