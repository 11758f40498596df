/** Name of the protocol in the HTTP upgrade that opens a link. */
export const linkProtocol = "zinniaglade-link";
