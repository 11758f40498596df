/** Header of an HTTP message; the name is in lower case. */
export interface MessageHeader {
    readonly name: string;
    readonly value: string;
}
