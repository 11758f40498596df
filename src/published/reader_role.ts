/** Decides whether this daemon reads the platform itself. */
export interface ReaderRole {
    isReader(): boolean;
    /** Records whether a call to the platform was answered. */
    recordRead(isAnswered: boolean): void;
}
