import assert from "node:assert/strict";
import { test } from "node:test";
import { NoticeBuffer } from "./notice_buffer.ts";

const notice = { daemonId: "daemon-1", incarnation: "first", leaving: true };

test("a notice is forwarded for some rounds and ignored when it returns, so that circulation ends", () => {
    const buffer = new NoticeBuffer(2, 10);
    assert.equal(buffer.add(notice), true);
    buffer.countRound();
    assert.deepEqual(buffer.list(), [notice]);
    buffer.countRound();
    assert.deepEqual(buffer.list(), []);
    assert.equal(buffer.add({ ...notice }), false);
    assert.equal(buffer.add({ ...notice, leaving: false }), true);
});

test("the number of remembered notices is bounded", () => {
    const buffer = new NoticeBuffer(2, 3);
    for (const incarnation of ["a", "b", "c", "d"]) {
        buffer.add({ ...notice, incarnation });
    }
    assert.equal(buffer.add({ ...notice, incarnation: "d" }), false);
    assert.equal(buffer.add({ ...notice, incarnation: "a" }), true);
});

test("messages stay small when the whole fleet starts, and leaving notices are sent first", () => {
    const buffer = new NoticeBuffer();
    for (let index = 0; index < 100; index++) {
        buffer.add({ daemonId: `daemon-${index}`, incarnation: "first", leaving: false });
    }
    buffer.add(notice);
    assert.equal(buffer.list().length, 8);
    assert.deepEqual(buffer.list()[0], notice);
});
