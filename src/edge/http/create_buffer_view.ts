/** Returns a Buffer over the same memory, without a copy. */
export function createBufferView(bytes: Uint8Array): Buffer {
    return Buffer.from(bytes.buffer, bytes.byteOffset, bytes.byteLength);
}
