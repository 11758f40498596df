/**
 * Prints the total of passed and failed tests of the reports of `node --test` and of the feature report, which is the last. Fails unless every failed
 * test is listed in KNOWN-RED.txt; prints the listed ones that failed.
 *
 * @module
 */
import { existsSync, readFileSync } from "node:fs";
import { listFailedTests } from "./list_failed_tests.ts";
import { listKnownFailures } from "./list_known_failures.ts";

const knownFile = "KNOWN-RED.txt";
const unitFiles = process.argv.slice(2, -1);
const units = unitFiles.map(file => readFileSync(file, "utf8"));
const features = readFileSync(process.argv.at(-1) ?? "", "utf8");
const knownNames = new Set(existsSync(knownFile) ? listKnownFailures(readFileSync(knownFile, "utf8")) : []);
const scenarios = /^\d+ scenarios? \((.*)\)$/m.exec(features)?.[1] ?? "";

function readCount(text: string, pattern: RegExp): number {
    return Number(pattern.exec(text)?.[1] ?? 0);
}

function countAll(pattern: RegExp): number {
    return units.reduce((sum, unit) => sum + readCount(unit, pattern), 0);
}

const unitPassed = countAll(/^ℹ pass (\d+)$/m);
const featuresPassed = readCount(scenarios, /(\d+) passed/);
const skipped = countAll(/^ℹ skipped (\d+)$/m) + countAll(/^ℹ todo (\d+)$/m);
const total = countAll(/^ℹ tests (\d+)$/m) + readCount(features, /^(\d+) scenarios?/m);
const passed = unitPassed + featuresPassed;
const failed = total - passed - skipped;
const names = listFailedTests(units.join("\n"), features);
const knownFailures = names.filter(name => knownNames.has(name));
knownFailures.forEach(name => console.log(`known failure, listed in KNOWN-RED.txt: ${name}`));
names.filter(name => !knownNames.has(name)).forEach(name => console.log(`failed: ${name}`));
console.log(`${passed} passed, ${failed - knownFailures.length} failed, ${skipped} skipped`);
// A report without counts comes from an aborted run.
process.exitCode =
    failed > knownFailures.length || units.some(unit => readCount(unit, /^ℹ pass (\d+)$/m) === 0) ||
        featuresPassed === 0
        ? 1
        : 0;
