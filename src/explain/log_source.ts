/** Text of one log file. */
export interface LogSource {
    readonly name: string;
    readonly text: string;
}
