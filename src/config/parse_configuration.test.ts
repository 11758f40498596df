import assert from "node:assert/strict";
import { readFileSync } from "node:fs";
import { test } from "node:test";
import { parseConfiguration } from "./parse_configuration.ts";

for (const name of ["authority", "safai"]) {
    test(`demo/${name}.yaml has no problem, so that the demo starts with the files as they are`, () => {
        const source = readFileSync(new URL(`../../demo/${name}.yaml`, import.meta.url), "utf8");
        const result = parseConfiguration(source, { name });
        assert.deepEqual(result.isErr() ? result.error : [], []);
        assert.equal(result._unsafeUnwrap().services.size, 3);
    });
}
