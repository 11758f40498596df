import assert from "node:assert/strict";
import { test } from "node:test";
import { NoticeBuffer } from "./notice_buffer.ts";

const notice = { daemonId: "daemon-1", incarnation: "first", leaving: true };

test("a notice is passed on for some rounds and not again when it comes back, so that it does not circulate", () => {
    const board = new NoticeBuffer(2, 10);
    assert.equal(board.add(notice), true);
    board.countRound();
    assert.deepEqual(board.list(), [notice]);
    board.countRound();
    assert.deepEqual(board.list(), []);
    assert.equal(board.add({ ...notice }), false);
    assert.equal(board.add({ ...notice, leaving: false }), true);
});

test("the memory of notices is bounded", () => {
    const board = new NoticeBuffer(2, 3);
    for (const incarnation of ["a", "b", "c", "d"]) {
        board.add({ ...notice, incarnation });
    }
    assert.equal(board.add({ ...notice, incarnation: "d" }), false);
    assert.equal(board.add({ ...notice, incarnation: "a" }), true);
});

test("a start of the whole fleet does not fill the messages, and leaving notices go first", () => {
    const board = new NoticeBuffer();
    for (let index = 0; index < 100; index++) {
        board.add({ daemonId: `daemon-${index}`, incarnation: "first", leaving: false });
    }
    board.add(notice);
    assert.equal(board.list().length, 8);
    assert.deepEqual(board.list()[0], notice);
});
