/** Documents that daemons exchange. */
export const DocumentName = {
    Configuration: "configuration",
    Instances: "instances",
} as const;

export type DocumentName = (typeof DocumentName)[keyof typeof DocumentName];
