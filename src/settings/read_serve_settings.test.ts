import assert from "node:assert/strict";
import { test } from "node:test";
import { readServeSettings } from "./read_serve_settings.ts";

const flags = {
    "daemon-id": "a1",
    "failure-domain": "z1",
    "caller-address": "127.0.0.1:7000",
    "peer-address": "127.0.0.1:7001",
    "admin-address": "127.0.0.1:7002",
    "platform-url": "http://127.0.0.1:7100",
};

function getProblem(changes: Record<string, string>, environment: Record<string, string> = {}): string {
    return readServeSettings({ ...flags, ...changes }, environment).match(
        () => "none",
        failure => failure.detail,
    );
}

test("a flag takes precedence over its environment variable, and absent settings have defaults", () => {
    const environment = {
        ZINNIAGLADE_DAEMON_ID: "b1",
        ZINNIAGLADE_UPSTREAMS: "p1=payments@127.0.0.1:9000/3",
    };
    const settings = readServeSettings(flags, environment)._unsafeUnwrap();
    assert.equal(settings.daemonId, "a1");
    assert.equal(settings.gossipIntervalMs, 1_000);
    assert.deepEqual(settings.upstreams, [{
        id: "p1",
        service: "payments",
        address: "127.0.0.1:9000",
        slots: 3,
    }]);
});

test("an invalid flag or variable is reported instead of being replaced by a default", () => {
    assert.match(getProblem({ "caller-address": "localhost:1" }), /^--caller-address: /);
    assert.match(getProblem({ "watch-ms": "5" }), /whole number from 100/);
    assert.match(getProblem({ upstreams: "p1" }), /ID=SERVICE@ADDRESS\/SLOTS/);
    assert.match(getProblem({ typo: "x" }), /--typo is not known/);
    assert.match(getProblem({}, { ZINNIAGLADE_TYPO: "x" }), /ZINNIAGLADE_TYPO is not known/);
    assert.match(getProblem({}, { ZINNIAGLADE_LOG_LEVEL: "loud" }), /^ZINNIAGLADE_LOG_LEVEL: /);
});

test("a missing required setting is reported by name", () => {
    assert.match(
        readServeSettings({}, {})._unsafeUnwrapErr().detail,
        /--daemon-id or ZINNIAGLADE_DAEMON_ID is required/,
    );
});
