/** Tells how busy a service is, as far as this entry daemon knows. */
export interface ServiceLoadReader {
    /** Share of the slots that are in use, 0 to 1; undefined when no state of an upstream is known. */
    measureLoad(service: string, nowMs: number): number | undefined;
}
