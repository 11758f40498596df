export type JsonSchema = Readonly<Record<string, unknown>>;
