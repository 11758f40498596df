/** A JSON Schema or a part of one. */
export type JsonSchema = Readonly<Record<string, unknown>>;
