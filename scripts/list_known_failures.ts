/** Names of the tests that KNOWN-RED.txt lists, one in each line that begins with `test: `. */
export function listKnownFailures(text: string): readonly string[] {
    return [...text.matchAll(/^test: (.+)$/gm)].map(match => match[1]!.trim());
}
