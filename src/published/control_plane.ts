/** The parts of a daemon that learn configuration and upstreams. */
export interface ControlPlane {
    /** Resolves when the daemon may accept callers; learning goes on until `close`. */
    start(): Promise<void>;
    close(): void;
}
