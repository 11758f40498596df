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
    Returned: "returned",
    /** A configuration became readable at the platform; `content` is its digest. */
    ConfigPublished: "config-published",
    ConfigAccepted: "config-accepted",
    ConfigActivated: "config-activated",
    DaemonStarted: "daemon-started",
    /** The daemon begins to accept callers; `version` is that of its configuration. */
    DaemonServing: "daemon-serving",
    DaemonDraining: "daemon-draining",
    DaemonClosed: "daemon-closed",
    /** The daemon can neither reach the platform nor a daemon that can, or does not run. */
    DaemonDisconnected: "daemon-disconnected",
    DaemonConnected: "daemon-connected",
    FaultInjected: "fault-injected",
} as const;

export type EventKind = (typeof EventKind)[keyof typeof EventKind];
