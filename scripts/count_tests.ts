/**
 * Prints the total of passed and failed tests of the unit test report and the feature report.
 *
 * @module
 */
import { readFileSync } from "node:fs";

const [unitFile = "", featureFile = ""] = process.argv.slice(2);
const unit = readFileSync(unitFile, "utf8");
const features = readFileSync(featureFile, "utf8");
const scenarios = /^\d+ scenarios? \((.*)\)$/m.exec(features)?.[1] ?? "";

function readCount(text: string, pattern: RegExp): number {
    return Number(pattern.exec(text)?.[1] ?? 0);
}

const passed = readCount(unit, /^ℹ pass (\d+)$/m) + readCount(scenarios, /(\d+) passed/);
const skipped = readCount(unit, /^ℹ skipped (\d+)$/m) + readCount(unit, /^ℹ todo (\d+)$/m);
const total = readCount(unit, /^ℹ tests (\d+)$/m) + readCount(features, /^(\d+) scenarios?/m);
const failed = total - passed - skipped;
console.log(`${passed} passed, ${failed} failed, ${skipped} skipped`);
process.exitCode = failed > 0 || passed === 0 ? 1 : 0;
