/** Properties of a request that determine its route. */
export interface RouteQuery {
    readonly method: string;
    /** Host in lower case without a port; empty when the request names none. */
    readonly host: string;
    /** Without the query. */
    readonly path: string;
}
