/** A daemon that messages can be sent to. */
export interface Peer {
    /** Undefined for an address from the settings. */
    readonly id: string | undefined;
    /** IP address and port of its interface for other daemons. */
    readonly address: string;
}
