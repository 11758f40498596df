import assert from "node:assert/strict";
import { test } from "node:test";
import { isConnectError } from "./is_connect_error.ts";

function createError(code: string, syscall?: string): Error {
    return Object.assign(new Error(code), { code, syscall });
}

test("a connection that was not opened is distinguished from one that failed after bytes were sent", () => {
    assert.equal(isConnectError(createError("ECONNREFUSED", "connect")), true);
    assert.equal(isConnectError(createError("UND_ERR_CONNECT_TIMEOUT")), true);
    for (const code of ["EHOSTUNREACH", "ENETUNREACH", "ECONNRESET", "EPIPE"]) {
        assert.equal(isConnectError(createError(code, "read")), false);
    }
});
