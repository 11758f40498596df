/** Class of the work of a route, declared in the configuration. */
export const WorkClass = {
    Short: "short",
    Long: "long",
} as const;

export type WorkClass = (typeof WorkClass)[keyof typeof WorkClass];
