/** Kinds of I/O that a daemon counts; each value is the name of a log field. */
export const IoActivity = {
    LinesWritten: "linesWritten",
    DatagramsSent: "datagramsSent",
    DatagramsReceived: "datagramsReceived",
} as const;

export type IoActivity = (typeof IoActivity)[keyof typeof IoActivity];
