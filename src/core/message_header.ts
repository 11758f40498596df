/** One header of an HTTP message; names are in lower case. */
export interface MessageHeader {
    readonly name: string;
    readonly value: string;
}
