/** Reports pauses of this process. */
export interface PauseGuard {
    /** True from the first check after a pause until the data that arrived during it was read. */
    isResuming(): boolean;
    /** Resolves when the data that arrived during the pause was read from the sockets. */
    wait(): Promise<void>;
}
