/** What a link between two processes lets pass. */
export const LinkMode = {
    Open: "open",
    /** Bytes towards the server are lost; connections stay open. */
    DropRequests: "drop-requests",
    /** Bytes from the server are lost; connections stay open. */
    DropReplies: "drop-replies",
} as const;

export type LinkMode = (typeof LinkMode)[keyof typeof LinkMode];
