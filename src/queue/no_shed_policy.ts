import type { ShedPolicy } from "./shed_policy.ts";

/** Sheds nothing: work is refused only when it cannot end before its deadline. */
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
