import { TextType } from "../fields/text_type.ts";

/** Names of services and routes. They contain no dot, because dots separate the parts of a field's path. */
export const nameType = new TextType({
    meaning: "letters, digits, `_` and `-`, beginning with a letter,",
    pattern: /^[A-Za-z][A-Za-z0-9_-]*$/,
    maxLength: 63,
});
