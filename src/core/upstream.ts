/** An upstream and its owner, as listed by the platform. */
export interface Upstream {
    readonly id: string;
    readonly service: string;
    readonly failureDomain: string;
    readonly region: string;
    readonly ownerId: string;
    /** IP address and port of the owner's interface for other daemons. */
    readonly ownerAddress: string;
    readonly leaving: boolean;
    /** IP address and port at which its owner reaches it; absent when in the owner's settings. */
    readonly address?: string;
    /** Number of requests that it runs concurrently; absent when in the owner's settings. */
    readonly slots?: number;
    /** Start of the process in milliseconds since the epoch, as it reported. */
    readonly bornMs?: number;
    /** Number of its report, counted from its start. */
    readonly sequence?: number;
    /** Milliseconds that remain of its cold start, in which it is slow, as last reported. */
    readonly coldRemainingMs?: number;
}
