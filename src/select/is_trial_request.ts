import type { SelectedRequest } from "./selected_request.ts";

/** True for a request to an upstream that was suspected when others could be selected. */
export function isTrialRequest({ basis, faultLimit = 1, redirectable }: SelectedRequest): boolean {
    return redirectable === true && basis !== undefined && basis.faultProbability > faultLimit;
}
