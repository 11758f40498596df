/** Says whether this daemon reads the platform itself. */
export interface ReaderRole {
    isReader(): boolean;
    /** Takes note that a call to the platform was answered, or failed. */
    recordRead(isAnswered: boolean): void;
}
