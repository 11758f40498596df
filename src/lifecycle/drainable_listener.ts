/** A listener as the drain sequence sees it. */
export interface DrainableListener {
    /** Stops accepting connections; open connections and their requests continue. */
    stop(): void;
    /** Closes the idle connections that are left. Called only when no request is in flight. */
    close(): Promise<void>;
}
