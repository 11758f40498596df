import type { VirtualTime } from "../../proof/fakes/virtual_time.ts";

interface Attempt {
    readonly serviceMs: number;
    readonly signal: AbortSignal;
    readonly resolve: (isAnswered: boolean) => void;
}

/** Upstream with slots and a queue in order of arrival. An aborted attempt leaves the queue or its slot. */
export class SlotUpstream {
    /** Milliseconds for which slots were in use. */
    workMs = 0;
    private running = 0;
    private readonly queue: Attempt[] = [];

    constructor(private readonly time: VirtualTime, private readonly slots: number) {}

    /** Requests that run or wait, for each slot. */
    measureLoad(): number {
        return (this.running + this.queue.length) / this.slots;
    }

    /** Resolves to false when the attempt was aborted. */
    run(serviceMs: number, signal: AbortSignal): Promise<boolean> {
        return new Promise(resolve => {
            this.queue.push({ serviceMs, signal, resolve });
            this.startNext();
        });
    }

    private startNext(): void {
        while (this.running < this.slots && this.queue.length > 0) {
            const { resolve, serviceMs, signal } = this.queue.shift()!;
            if (signal.aborted) {
                resolve(false);
                continue;
            }
            this.running += 1;
            const startedAtMs = this.time.getMonotonicMs();
            const release = (isAnswered: boolean) => {
                timer.close();
                signal.removeEventListener("abort", cancel);
                this.running -= 1;
                this.workMs += this.time.getMonotonicMs() - startedAtMs;
                resolve(isAnswered);
                this.startNext();
            };
            const cancel = () => release(false);
            const timer = this.time.start(serviceMs, () => release(true));
            signal.addEventListener("abort", cancel, { once: true });
        }
    }
}
