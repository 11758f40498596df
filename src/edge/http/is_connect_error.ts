/**
 * True when a request failed while its connection was being opened, so that no byte of it was sent. The error
 * code alone is not enough: the kernel also reports EHOSTUNREACH for open connections, after bytes were sent.
 */
export function isConnectError(error: unknown): boolean {
    if (!(error instanceof Error)) {
        return false;
    }
    const { code, syscall } = error as NodeJS.ErrnoException;
    return syscall === "connect" || code === "UND_ERR_CONNECT_TIMEOUT";
}
