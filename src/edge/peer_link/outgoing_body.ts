/** A body that is sent in pieces. */
export interface OutgoingBody {
    /** Number of its attempt on the link. */
    readonly id: number;
    readonly bytes: Uint8Array;
    /** Called once, when the last piece was written or the body was dropped. */
    readonly handleEnd: () => void;
}
