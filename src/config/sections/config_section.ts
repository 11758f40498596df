/** A part of the configuration that daemons transfer on its own: one service, or the name of the team. */
export interface ConfigSection {
    /** `team`, or `services.` with the name of the service. */
    readonly name: string;
    /** SHA-256 of the content, in hexadecimal. */
    readonly digest: string;
    /**
     * The fields as the operators wrote them, in JSON. Values that they left out are filled in by the daemon
     * that reads the section, so that digests do not depend on the version of the program.
     */
    readonly content: string;
}
