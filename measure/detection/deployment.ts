/** Size of one service of section 1.5 of docs/design.md, and the daemons that send to it. */
export interface Deployment {
    readonly name: string;
    readonly service: string;
    readonly upstreams: number;
    readonly slots: number;
    readonly floor: number;
    /** Daemons of the fleet; each is an entry daemon. */
    readonly daemons: number;
    /** Replies per second to a daemon from other services' upstreams, at ten requests per second to each. */
    readonly otherReplyRate: number;
    /** One-way latency between failure domains in milliseconds. */
    readonly latencyMs: number;
    readonly longPercent: number;
    /** Standard deviation of the logarithm of the service time. */
    readonly serviceTimeSigma: number;
}
