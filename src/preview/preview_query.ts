/** The request that a preview asks about. */
export interface PreviewQuery {
    readonly method: string;
    /** Host in lower case without a port; empty when the request names none. */
    readonly host: string;
    /** Path and query. */
    readonly target: string;
    /** Time budget in milliseconds; the route decides when it is absent. */
    readonly budgetMs?: number | undefined;
    /** Key of an organisation. It appears in no step, log line or answer. */
    readonly credential?: string | undefined;
}
