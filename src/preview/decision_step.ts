/** One decision about a request that is not sent. */
export interface DecisionStep {
    /** Name of the filter that decides, such as `route` or `select`. */
    readonly stage: string;
    /** One sentence with the decision and its reason. Holds no key. */
    readonly decision: string;
    /** Values that the decision used, by name. */
    readonly values: Readonly<Record<string, string | number | boolean>>;
}
