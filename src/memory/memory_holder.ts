/** What bytes of the memory account are held for. */
export const MemoryHolder = {
    /** Bodies of requests that are being read or wait for their answer. */
    RequestBody: "request-body",
    /** Answers of upstreams that are being read. */
    UpstreamAnswer: "upstream-answer",
    /** Answers that wait for callers that read slowly. */
    CallerAnswer: "caller-answer",
    /** Bodies that arrive over links between daemons, and answers in the queues of links. */
    LinkFrame: "link-frame",
} as const;

export type MemoryHolder = (typeof MemoryHolder)[keyof typeof MemoryHolder];
