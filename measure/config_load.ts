/**
 * Measures the time to load a configuration of the target scale (1,000 services, 5,000 routes).
 *
 * Usage: `node --import tsx measure/config_load.ts`
 *
 * @module
 */
import { parseConfiguration } from "../src/config/parse_configuration.ts";
import { readDocument } from "../src/config/yaml/read_document.ts";
import { RouteTable } from "../src/route/route_table.ts";
import { createConfigurationText } from "./create_configuration_text.ts";

const runs = 11;

/** Prints first, median and longest time in milliseconds of several runs. */
function measure(name: string, action: () => unknown): void {
    const times = Array.from({ length: runs }, () => {
        const startMs = performance.now();
        action();
        return performance.now() - startMs;
    });
    const first = times[0]!;
    times.sort((left, right) => left - right);
    const [median, longest] = [times[runs >> 1]!, times.at(-1)!];
    const [a, b, c] = [first, median, longest].map(time => time.toFixed(1).padStart(8));
    console.log(`${name.padEnd(24)} first ${a} ms  median ${b} ms  longest ${c} ms`);
}

const text = createConfigurationText({ services: 1_000, routes: 5_000, seed: 1 });
console.log(`${(text.length / 1_000_000).toFixed(2)} MB, ${text.split("\n").length} lines`);
measure("parse and check", () => parseConfiguration(text)._unsafeUnwrap());
measure("  of it reading YAML", () => readDocument("", text));
const configuration = parseConfiguration(text)._unsafeUnwrap();
measure("compile routes", () => new RouteTable(configuration));
