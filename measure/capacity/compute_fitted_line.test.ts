import assert from "node:assert/strict";
import { test } from "node:test";
import { computeFittedLine } from "./compute_fitted_line.ts";

test("a line is recovered with its fixed part apart, so that a slope never contains fixed costs", () => {
    const line = computeFittedLine([[10, 25], [20, 45], [40, 85]]);
    assert.ok(Math.abs(line.slope - 2) < 1e-9);
    assert.ok(Math.abs(line.fixed - 5) < 1e-9);
    assert.ok(line.residual < 1e-9);
});

test("points that are not on a line give a residual, so that a wrong model is visible", () => {
    const line = computeFittedLine([[0, 0], [1, 3], [2, 0]]);
    assert.ok(Math.abs(line.slope) < 1e-9);
    // Fit 1 at each size: residuals -1, 2, -1.
    assert.ok(Math.abs(line.residual - Math.sqrt(2) / 3) < 1e-9);
});
