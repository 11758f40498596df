import type { ShedPolicy } from "../../src/queue/shed_policy.ts";

/** Never sheds. */
export class NoShedPolicy implements ShedPolicy {
    decideArrival(): boolean {
        return false;
    }

    decideStart(): boolean {
        return false;
    }
}
