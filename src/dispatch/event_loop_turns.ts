/** Waits for iterations of the event loop. */
export interface EventLoopTurns {
    /** Resolves after `count` iterations, each of which reads the sockets that are ready. */
    wait(count: number): Promise<void>;
}
