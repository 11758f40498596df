import type { ShedPolicy } from "../../src/queue/shed_policy.ts";

/** Never sheds. */
export class NoShedPolicy implements ShedPolicy {
    isShedding(): boolean {
        return false;
    }

    decideArrival(): boolean {
        return false;
    }

    decideStart(): boolean {
        return false;
    }
}
