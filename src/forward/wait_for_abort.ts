/** Resolves when the signal is aborted; `close` stops listening, and the promise then stays pending. */
export function waitForAbort(signal: AbortSignal): { done: Promise<undefined>; close: () => void; } {
    let close: () => void = () => undefined;
    const done = new Promise<undefined>(resolve => {
        const handleAbort = () => resolve(undefined);
        signal.addEventListener("abort", handleAbort, { once: true });
        close = () => signal.removeEventListener("abort", handleAbort);
        if (signal.aborted) {
            handleAbort();
        }
    });
    return { done, close };
}
