/** The requests that upstreams of this daemon run. */
export interface RunReader {
    /** Name of the organisation of a run, empty for none; undefined when no such run is known. */
    findOrganisation(requestId: string): string | undefined;
}
