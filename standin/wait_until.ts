const POLL_MS = 50;

/** Polls until the check holds; rejects with `what` after `limitMs` milliseconds. */
export async function waitUntil(
    condition: string,
    timeoutMs: number,
    check: () => Promise<boolean> | boolean,
): Promise<void> {
    const endMs = Date.now() + timeoutMs;
    for (;;) {
        try {
            if (await check()) {
                return;
            }
        }
        catch {
            // The process that the check asks may not listen yet.
        }
        if (Date.now() > endMs) {
            throw new Error(`not reached within ${timeoutMs} ms: ${condition}`);
        }
        await new Promise(resolve => setTimeout(resolve, POLL_MS));
    }
}
