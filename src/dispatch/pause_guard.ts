/** Knows when this process was paused. */
export interface PauseGuard {
    /** True from the first look at the clock after a pause until the waiting sockets were read. */
    isResuming(): boolean;
    /** Resolves when the sockets that filled during the pause were read. */
    wait(): Promise<void>;
}
