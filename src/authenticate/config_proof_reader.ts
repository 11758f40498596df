/** Tells until which moment the configuration in force is proved to be the newest one. */
export interface ConfigProofReader {
    /**
     * Monotonic milliseconds; -Infinity when nothing is proved. Time that an answer spent at the store, in another
     * daemon or on the way lies after this moment.
     */
    getProvedMs(): number;
}
