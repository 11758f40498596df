/** Gives the incarnations of daemons that head exchanges told of. */
export interface IncarnationReader {
    getIncarnation(daemonId: string): string | undefined;
}
