/** Bounds within which the usage caps hold over the whole fleet. */
export interface UsageCapBounds {
    readonly windowMs: number;
    /** Share by which the fleet may exceed a cap within a window. */
    readonly overage: number;
    /** Requests by which the fleet may exceed a cap within a window, in addition. */
    readonly slack: number;
}
