const POLL_MS = 50;

/** Polls until the check holds; rejects with `what` after `limitMs` milliseconds. */
export async function waitUntil(
    what: string,
    limitMs: number,
    check: () => Promise<boolean> | boolean,
): Promise<void> {
    const endMs = Date.now() + limitMs;
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
            throw new Error(`not reached within ${limitMs} ms: ${what}`);
        }
        await new Promise(resolve => setTimeout(resolve, POLL_MS));
    }
}
