import type { Lifecycle } from "../../../src/lifecycle/lifecycle.ts";

/** Ways in which a test breaks the daemons of a work fleet. */
export interface DrainMutation {
    /** The owner does not check its state. */
    readonly acceptsWhileLeaving?: boolean;
    /** No leaving notice reaches another daemon. */
    readonly dropsNotices?: boolean;
    /** A drain forgets the queued work. */
    readonly dropsQueue?: boolean;
    readonly createLifecycle?: (options: ConstructorParameters<typeof Lifecycle>[0]) => Lifecycle;
}
