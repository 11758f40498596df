/** Bytes of all answers that are being read: one as large as a route allows without a limit of its own. */
const maxBytes = 67_108_864;

/** Counts the bytes that the unfinished answers of all upstreams hold. */
export class AnswerMemory {
    private bytes = 0;

    /** False when the answers hold more than is allowed; the bytes count until they are released. */
    add(bytes: number): boolean {
        this.bytes += bytes;
        return this.bytes <= maxBytes;
    }

    release(bytes: number): void {
        this.bytes -= bytes;
    }
}
