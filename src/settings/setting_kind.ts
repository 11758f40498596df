/** Kind of a setting, which decides how its value is checked. */
export const SettingKind = {
    /** 1 to 64 characters: letters, digits, dot, hyphen, underscore. */
    Name: "name",
    /** IP address and port. */
    Address: "address",
    /** Comma-separated addresses. */
    Addresses: "addresses",
    Url: "url",
    /** Whole number within the limits of its specification. */
    Integer: "integer",
    LogLevel: "log-level",
    /** Comma-separated `ID=SERVICE@ADDRESS/SLOTS`. */
    Upstreams: "upstreams",
} as const;

export type SettingKind = (typeof SettingKind)[keyof typeof SettingKind];
