import { TextType } from "../fields/text_type.ts";

/** Free text for human readers. */
export const freeTextType = new TextType({
    meaning: "text without control characters",
    pattern: /^[^\u0000-\u001f\u007f-\u009f]*$/,
    maxLength: 1000,
});
