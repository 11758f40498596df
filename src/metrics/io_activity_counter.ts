import { IoActivity } from "./io_activity.ts";

/** Counts I/O between two readings. */
export class IoActivityCounter {
    private counts = createCounts();

    add(activity: IoActivity): void {
        this.counts[activity] += 1;
    }

    /** Returns the counts since the last call and resets them. */
    takeCounts(): Readonly<Record<IoActivity, number>> {
        const { counts } = this;
        this.counts = createCounts();
        return counts;
    }
}

function createCounts(): Record<IoActivity, number> {
    return { [IoActivity.LinesWritten]: 0, [IoActivity.DatagramsSent]: 0, [IoActivity.DatagramsReceived]: 0 };
}
