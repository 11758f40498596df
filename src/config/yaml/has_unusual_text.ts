const unusualPattern = /[\u0000-\u0009\u000b-\u001f\u007f-\u009f\u2028\u2029\ufeff\ud800-\udfff]/u;

/** True when the text has control characters, tabs, line separators, byte order marks or single surrogates. */
export function hasUnusualText(text: string): boolean {
    return unusualPattern.test(text);
}
