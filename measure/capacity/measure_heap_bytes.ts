/**
 * Bytes on the heap and in array buffers that stay reachable from the result of `build`. The process must run with
 * `--expose-gc`.
 */
export async function measureHeapBytes<Value>(
    build: () => Value | Promise<Value>,
): Promise<{ readonly bytes: number; readonly value: Value; }> {
    const before = readUsedBytes();
    const value = await build();
    return { bytes: readUsedBytes() - before, value };
}

function readUsedBytes(): number {
    globalThis.gc!();
    globalThis.gc!();
    const { heapUsed, arrayBuffers } = process.memoryUsage();
    return heapUsed + arrayBuffers;
}
