import type { MessageHeader } from "./message_header.ts";

/** Value of the first header of this name (in lower case), or undefined. */
export function findHeader(headers: readonly MessageHeader[], name: string): string | undefined {
    return headers.find(header => header.name === name)?.value;
}
