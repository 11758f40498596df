const connectErrorCodes: ReadonlySet<string> = new Set([
    "ECONNREFUSED",
    "EHOSTUNREACH",
    "ENETUNREACH",
    "UND_ERR_CONNECT_TIMEOUT",
]);

/** True when a request failed while its connection was being opened, so that no byte of it was sent. */
export function isConnectError(error: unknown): boolean {
    if (!(error instanceof Error)) {
        return false;
    }
    const { code, syscall } = error as NodeJS.ErrnoException;
    return syscall === "connect" || (code !== undefined && connectErrorCodes.has(code));
}
