/** Kinds of control work that a daemon counts, by the name of their log field. */
export const Activity = {
    LinesWritten: "linesWritten",
    DatagramsSent: "datagramsSent",
    DatagramsReceived: "datagramsReceived",
} as const;

export type Activity = (typeof Activity)[keyof typeof Activity];
