/** An incomplete answer whose bytes count towards a limit that all answers share. */
export interface PendingAnswer {
    /** Aborts the answer and closes its connection. */
    cancel(): void;
}
