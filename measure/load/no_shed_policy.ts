import type { ShedPolicy } from "../../src/queue/shed_policy.ts";

/** Never sheds. */
export class NoShedPolicy implements ShedPolicy {
    isShedding(): boolean {
        return false;
    }

    decideShedOnArrival(): boolean {
        return false;
    }

    decideShedOnStart(): boolean {
        return false;
    }
}
