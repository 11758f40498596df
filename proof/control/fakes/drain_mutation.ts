import type { Lifecycle } from "../../../src/lifecycle/lifecycle.ts";

/** Defects that a test injects into the daemons of a `DrainFleet`. */
export interface DrainMutation {
    /** The owner does not check whether it is leaving. */
    readonly acceptsWhileLeaving?: boolean;
    /** No leaving notice reaches another daemon. */
    readonly dropsNotices?: boolean;
    /** A drain removes queued requests without answering them. */
    readonly dropsQueue?: boolean;
    readonly createLifecycle?: (options: ConstructorParameters<typeof Lifecycle>[0]) => Lifecycle;
}
