import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";
import type { BufferCollector } from "../../memory/buffer_collector.ts";

/** Collects all without options; Node.js 20 collects the young generation only for any options. */
type Collect = (options?: { readonly type: "minor"; }) => void;

/** Bytes of dropped buffers after which the young generation is collected. */
const maxDroppedBytes = 8_388_608;
/** Bytes of ended transfers after which all is collected, which takes milliseconds with the heap of a daemon. */
const maxReleasedBytes = 16_777_216;
/** Ended transfers below this size are left to the usual collections: they are most requests and hold little. */
const minReleasedBytes = 131_072;

/** Collects garbage after a number of bytes, once the current event has been handled. */
export class V8BufferCollector implements BufferCollector {
    private readonly collect: Collect;
    private droppedBytes = 0;
    private releasedBytes = 0;
    private scheduled: NodeJS.Immediate | undefined;

    constructor() {
        setFlagsFromString("--expose-gc");
        this.collect = runInNewContext("gc") as Collect;
    }

    recordDropped(bytes: number): void {
        this.droppedBytes += bytes;
        this.startCollection();
    }

    recordReleased(bytes: number): void {
        this.releasedBytes += bytes < minReleasedBytes ? 0 : bytes;
        this.startCollection();
    }

    purge(): void {
        this.releasedBytes = 0;
        this.droppedBytes = 0;
        this.collect();
    }

    private startCollection(): void {
        if (this.droppedBytes >= maxDroppedBytes || this.releasedBytes >= maxReleasedBytes) {
            this.scheduled ??= setImmediate(() => this.run());
        }
    }

    private run(): void {
        this.scheduled = undefined;
        if (this.releasedBytes >= maxReleasedBytes) {
            this.purge();
        }
        else {
            this.droppedBytes = 0;
            this.collect({ type: "minor" });
        }
    }
}
