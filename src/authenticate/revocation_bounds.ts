/** Bounds for requests with keys that were removed. */
export interface RevocationBounds {
    /** True when a daemon that cannot prove its configuration refuses requests with keys. */
    readonly isStrict: boolean;
    /** Milliseconds after the confirmation of a removal from which on no request with the key may run. */
    readonly maxAgeMs: number;
    /** Milliseconds within which a new configuration must be in force; a key may be unknown until then. */
    readonly applyMs: number;
}
