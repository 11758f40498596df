import type { ShedPolicy } from "./shed_policy.ts";

/** Never sheds load: requests are refused only when they cannot complete before their deadline. */
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
