import assert from "node:assert/strict";
import { readdirSync, readFileSync } from "node:fs";
import { test } from "node:test";

const source = new URL("../", import.meta.url);

test("docs/metrics.md lists exactly the metrics that the code sends, so that alarms use valid names", () => {
    const page = readFileSync(new URL("../../docs/metrics.md", import.meta.url), "utf8");
    const documented = [...page.matchAll(/^\| `([a-z_.]+)` \|/gm)].map(match => match[1]);
    const sent = new Set<string>();
    for (const file of readdirSync(source, { recursive: true, encoding: "utf8" })) {
        if (file.endsWith(".ts") && !file.endsWith(".test.ts")) {
            const text = readFileSync(new URL(file, source), "utf8");
            for (const match of text.matchAll(/(?:addCount|setGauge|recordTime)\(\s*"([a-z_.]+)"/g)) {
                sent.add(match[1]!);
            }
        }
    }
    assert.deepEqual([...documented].sort(), [...sent].sort());
});
