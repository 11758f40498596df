import assert from "node:assert/strict";
import { test } from "node:test";
import type { DaemonInfo } from "../membership/daemon_info.ts";
import { KnownDaemonTable } from "./known_daemon_table.ts";

const place = { failureDomain: "z", region: "r", leaving: false };

test("a daemon whose upstream has left the list for a while still gets allowances", () => {
    let daemons: ReadonlyMap<string, DaemonInfo> = new Map([["d1", { id: "d1", address: "a:1", ...place }]]);
    const table = new KnownDaemonTable({ getDaemons: () => daemons });
    assert.equal(table.find("d1", 0)?.address, "a:1");
    daemons = new Map();
    assert.equal(table.find("d1", 30_000)?.address, "a:1");
    daemons = new Map();
    assert.equal(table.find("d1", 90_001), undefined);
    assert.equal(table.find("d2", 90_001), undefined);
});
