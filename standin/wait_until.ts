const POLL_MS = 50;

/** Polls until `check` returns true; after `timeoutMs` it rejects with an error that names `condition`. */
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
            // A failed check counts as false: the process that it queries may not listen yet.
        }
        if (Date.now() > endMs) {
            throw new Error(`not reached within ${timeoutMs} ms: ${condition}`);
        }
        await new Promise(resolve => setTimeout(resolve, POLL_MS));
    }
}
