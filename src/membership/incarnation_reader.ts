/** Provides the incarnations of daemons that were received in head exchanges. */
export interface IncarnationReader {
    getIncarnation(daemonId: string): string | undefined;
}
