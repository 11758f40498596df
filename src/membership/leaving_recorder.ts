/** Records upstreams that are leaving, as reported by any source. */
export interface LeavingRecorder {
    /** `cause` is for the audit trail, for example `list`, `reply` or `peer`. */
    setLeaving(upstreamId: string, cause: string): void;
}
