// Spellings of the core schema that are rare in a configuration; the library reads them.
const rarePattern = new RegExp(
    "^(?:~|null|Null|NULL|True|TRUE|False|FALSE|0o[0-7]+|0x[0-9a-fA-F]+"
        + "|[-+]?\\.(?:inf|Inf|INF)|\\.nan|\\.NaN|\\.NAN)$",
);
const numberPattern = /^[-+]?(?:[0-9]+(?:\.[0-9]*)?|\.[0-9]+)(?:[eE][-+]?[0-9]+)?$/;

/** Value of a plain scalar by the core schema of YAML 1.2; undefined for spellings that it does not read. */
export function parsePlainScalar(text: string): string | number | boolean | undefined {
    if (text === "true" || text === "false") {
        return text === "true";
    }
    if (numberPattern.test(text)) {
        return Number(text);
    }
    return rarePattern.test(text) ? undefined : text;
}
