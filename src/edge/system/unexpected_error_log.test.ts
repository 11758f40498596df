import assert from "node:assert/strict";
import { EventEmitter } from "node:events";
import { test } from "node:test";
import { UnexpectedErrorLog } from "./unexpected_error_log.ts";

test("an error that no component handles is logged and counted and does not end the process", () => {
    const process = new EventEmitter();
    const lines: string[] = [];
    const counts: string[] = [];
    const errors = new UnexpectedErrorLog({
        process,
        logger: {
            write: (_level, event, fields) => void lines.push(`${event} ${String(fields?.["detail"])}`),
        },
        metrics: {
            addCount: name => void counts.push(name),
            setGauge: () => undefined,
            recordTime: () => undefined,
        },
    });
    errors.open();
    process.emit("uncaughtException", new Error("malformed message"));
    process.emit("unhandledRejection", "a rejected promise");
    assert.match(lines[0] ?? "", /^unexpected_error Error: malformed message/);
    assert.equal(lines[1], "unexpected_error a rejected promise");
    assert.equal(counts.length, 2);
    errors.close();
    // Without a listener Node.js ends the process as usual.
    assert.equal(process.listenerCount("uncaughtException") + process.listenerCount("unhandledRejection"), 0);
});
