/** Headers that carry protobuf messages in base64 between daemons. */
export const PeerHeader = {
    Dispatch: "zinniaglade-dispatch",
    Reply: "zinniaglade-reply",
} as const;

export type PeerHeader = (typeof PeerHeader)[keyof typeof PeerHeader];
