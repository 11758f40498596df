/** Names of the failed tests in the report of Node.js and of the failed scenarios in the report of cucumber. */
export function listFailedTests(unitReport: string, featureReport: string): readonly string[] {
    const tests = [...unitReport.matchAll(/^✖ (.+) \([\d.]+ms\)$/gm)].map(match => match[1]!);
    const scenarios = [...featureReport.matchAll(/^\d+\) Scenario: (.+) # .+$/gm)].map(match => match[1]!);
    return [...new Set([...tests, ...scenarios])];
}
