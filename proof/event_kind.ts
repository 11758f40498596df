/** Kinds of events that callers, daemons and upstreams record during a run. */
export const EventKind = {
    CallerSent: "caller-sent",
    CallerAnswered: "caller-answered",
    OwnerDispatched: "owner-dispatched",
    UpstreamStarted: "upstream-started",
    UpstreamExecuted: "upstream-executed",
    UpstreamLeaving: "upstream-leaving",
    UpstreamFailed: "upstream-failed",
    UpstreamHealed: "upstream-healed",
    RotationComputed: "rotation-computed",
    Ejected: "ejected",
    UpstreamReturned: "returned",
    /** Operators published a valid configuration; `content` is its digest. */
    ConfigPublished: "config-published",
    /** The platform began to serve the newest valid configuration. */
    ConfigReadable: "config-readable",
    ConfigAccepted: "config-accepted",
    ConfigActivated: "config-activated",
    DaemonStarted: "daemon-started",
    /** The daemon begins to accept callers; `version` is the version of its configuration. */
    DaemonServing: "daemon-serving",
    DaemonDraining: "daemon-draining",
    DaemonClosed: "daemon-closed",
    /**
     * A daemon reaches the platform neither itself nor through other daemons, or the platform cannot be read.
     */
    DaemonDisconnected: "daemon-disconnected",
    DaemonConnected: "daemon-connected",
    FaultInjected: "fault-injected",
} as const;

export type EventKind = (typeof EventKind)[keyof typeof EventKind];
