/** The same bytes as a Buffer, without a copy. */
export function createBufferView(bytes: Uint8Array): Buffer {
    return Buffer.from(bytes.buffer, bytes.byteOffset, bytes.byteLength);
}
