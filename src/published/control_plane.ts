/** Part of a daemon that obtains the configuration and the upstreams. */
export interface ControlPlane {
    /** Resolves when the daemon may accept callers; updates continue until `close`. */
    start(): Promise<void>;
    close(): void;
}
