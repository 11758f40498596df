/** What an entry daemon expects of an upstream of which it has no recent report. */
export interface BackgroundLoad {
    /** Mean requests per slot of the trusted upstreams of the service. */
    readonly load: number;
    /** Mean service time in milliseconds, in which an old report loses its meaning. */
    readonly serviceMs: number;
}
