/** Exit codes of the program. */
export const ExitCode = {
    Ok: 0,
    /** The command ran and failed, or found a problem. */
    Failed: 1,
    /** A flag, an environment variable or a file that the command needs is invalid. */
    BadUsage: 2,
} as const;

export type ExitCode = (typeof ExitCode)[keyof typeof ExitCode];
