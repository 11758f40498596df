import { Activity } from "./activity.ts";

/** Counts control work between two readings. */
export class ActivityCounter {
    private counts = createCounts();

    add(activity: Activity): void {
        this.counts[activity] += 1;
    }

    /** The counts since the last call. */
    takeCounts(): Readonly<Record<Activity, number>> {
        const { counts } = this;
        this.counts = createCounts();
        return counts;
    }
}

function createCounts(): Record<Activity, number> {
    return { [Activity.LinesWritten]: 0, [Activity.DatagramsSent]: 0, [Activity.DatagramsReceived]: 0 };
}
