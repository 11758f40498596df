/** Resources that the process has used since its start. */
export interface ProcessUsage {
    /** Milliseconds of processor time of all threads, in user and kernel mode. */
    readonly processorMs: number;
    /** Milliseconds in which the event loop was not waiting for events. */
    readonly loopActiveMs: number;
    /** Involuntary context switches: the kernel took the processor away before the process waited. */
    readonly preemptions: number;
}
