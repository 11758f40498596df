import { Code } from "../core/code.ts";
import type { Timers } from "../core/timers.ts";
import type { QueueEntry } from "./queue_entry.ts";

/**
 * Creates a copy of the entry that calls `cancel` when the deadline passes or the signal of the request is
 * aborted. Resolving the copy stops the timer and removes the listener.
 */
export function createCancellableEntry(
    entry: QueueEntry,
    timers: Timers,
    cancel: (code: Code) => void,
): QueueEntry {
    const { queuedAtMs, request } = entry;
    const handleAbort = (): void => cancel(Code.CallerCancelled);
    const timer = timers.start(request.deadlineMs - queuedAtMs, () => cancel(Code.DeadlineExceeded));
    request.signal.addEventListener("abort", handleAbort);
    return {
        ...entry,
        resolve: result => {
            timer.close();
            request.signal.removeEventListener("abort", handleAbort);
            entry.resolve(result);
        },
    };
}
