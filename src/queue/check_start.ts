import { Code } from "../core/code.ts";
import type { OwnerRequest } from "./owner_request.ts";

interface Estimate {
    /** Monotonic. */
    readonly nowMs: number;
    /** Mean service time in milliseconds. */
    readonly serviceMs: number;
    readonly isShed: boolean;
}

/** Decides whether a request may use the slot that is free now, so that no margin for a wait is needed. */
export function checkStart({ deadlineMs }: OwnerRequest, { isShed, nowMs, serviceMs }: Estimate): Code {
    if (nowMs >= deadlineMs) {
        return Code.DeadlineExceeded;
    }
    if (nowMs + serviceMs > deadlineMs) {
        return Code.WaitTooLong;
    }
    return isShed ? Code.OwnerOverloaded : Code.Ok;
}
