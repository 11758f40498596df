/** Status of one upstream at one daemon, as reported by the `show` command. */
export interface UpstreamStatus {
    readonly upstreamId: string;
    /** Newest known health score in nats; undefined when none is known. */
    readonly score: number | undefined;
    /** Score in nats from which on the upstream is ejected, if the floor allows it. */
    readonly alarmScore: number;
    readonly inRotation: boolean;
    readonly ejected: boolean;
    /** True when this daemon cannot reach the owner of the upstream. */
    readonly unreachable: boolean;
    /** Milliseconds until trial requests begin; 0 when the upstream is not ejected. */
    readonly holdLeftMs: number;
    /** Fraction of the full weight; 1 after slow start. */
    readonly weight: number;
    readonly ejections: number;
    readonly trials: number;
    /** Requests of this daemon that are in flight. */
    readonly inFlight: number;
}
