/** Which bytes a link between two processes relays. */
export const LinkMode = {
    Open: "open",
    /** Drops bytes sent to the server; connections stay open. */
    DropRequests: "drop-requests",
    /** Drops bytes sent by the server; connections stay open. */
    DropReplies: "drop-replies",
} as const;

export type LinkMode = (typeof LinkMode)[keyof typeof LinkMode];
