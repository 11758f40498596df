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
    ConfigAccepted: "config-accepted",
    ConfigActivated: "config-activated",
    DaemonStarted: "daemon-started",
    DaemonDraining: "daemon-draining",
    DaemonClosed: "daemon-closed",
    FaultInjected: "fault-injected",
} as const;

export type EventKind = (typeof EventKind)[keyof typeof EventKind];
