/** One service as one daemon sees it. */
export interface ServiceStatus {
    readonly name: string;
    readonly floor: number;
    readonly members: number;
    readonly upstreams: readonly {
        readonly id: string;
        readonly ownerId: string;
        readonly failureDomain: string;
        readonly leaving: boolean;
    }[];
}
