import { err, ok, type Result } from "neverthrow";
import type { OwnedUpstream } from "../queue/owned_upstream.ts";

const MAX_SLOTS = 1_024;

/** Parses a comma-separated list of `ID=SERVICE@ADDRESS/SLOTS`; the error is one clause. */
export function parseUpstreams(text: string): Result<readonly OwnedUpstream[], string> {
    const upstreams: OwnedUpstream[] = [];
    for (const item of text.split(",").filter(part => part.trim() !== "")) {
        const match = /^([\w.-]{1,64})=([\w.-]{1,64})@(\[[0-9a-fA-F:]+\]:\d{1,5}|[0-9.]+:\d{1,5})\/(\d{1,4})$/
            .exec(item.trim());
        const [, id, service, address, slotText] = match ?? [];
        const slots = Number(slotText);
        if (
            id === undefined || service === undefined || address === undefined || slots < 1 ||
            slots > MAX_SLOTS
        ) {
            return err(`'${item}' is not of the form ID=SERVICE@ADDRESS/SLOTS`);
        }
        if (upstreams.some(upstream => upstream.id === id)) {
            return err(`the upstream '${id}' is named twice`);
        }
        upstreams.push({ id, service, address, slots });
    }
    return ok(upstreams);
}
