/** Says whether this daemon reads the platform itself. */
export interface ReaderRole {
    isReader(): boolean;
}
