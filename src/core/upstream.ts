/** An upstream and its owner, as the instance list of the platform names them. */
export interface Upstream {
    readonly id: string;
    readonly service: string;
    readonly failureDomain: string;
    readonly region: string;
    readonly ownerId: string;
    /** Address (IP number and port) of the owner's interface for other daemons. */
    readonly ownerAddress: string;
    readonly leaving: boolean;
    /** Address (IP number and port) at which its owner reaches it; absent when the owner's settings name it. */
    readonly address?: string;
    /** Requests that it runs at once; absent when the owner's settings name them. */
    readonly slots?: number;
    /** Milliseconds for which it stayed slow after its start, as of the last report. */
    readonly coldMs?: number;
}
