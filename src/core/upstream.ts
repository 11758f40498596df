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
}
