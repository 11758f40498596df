/** An unfinished answer whose bytes count against a limit that it shares with others. */
export interface PendingAnswer {
    /** Gives the answer up and closes its connection. */
    cancel(): void;
}
