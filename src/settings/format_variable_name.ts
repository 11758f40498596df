/** Environment variable of a setting, for example `ZINNIAGLADE_DAEMON_ID` for `daemon-id`. */
export function formatVariableName(name: string): string {
    return `ZINNIAGLADE_${name.toUpperCase().replaceAll("-", "_")}`;
}
