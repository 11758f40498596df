/** Listener that a drain stops and closes. */
export interface DrainableListener {
    /** Stops accepting connections; open connections and their requests continue. */
    stop(): void;
    /** Closes the remaining idle connections. Called only when no request is in flight. */
    close(): Promise<void>;
}
