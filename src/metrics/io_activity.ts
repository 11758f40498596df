/** Kinds of control work that a daemon counts, by the name of their log field. */
export const IoActivity = {
    LinesWritten: "linesWritten",
    DatagramsSent: "datagramsSent",
    DatagramsReceived: "datagramsReceived",
} as const;

export type IoActivity = (typeof IoActivity)[keyof typeof IoActivity];
