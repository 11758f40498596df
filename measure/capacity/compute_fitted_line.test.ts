import assert from "node:assert/strict";
import { test } from "node:test";
import { computeFittedLine } from "./compute_fitted_line.ts";

test("the fit separates the constant term from the slope, so that a slope never includes fixed costs", () => {
    const line = computeFittedLine([[10, 25], [20, 45], [40, 85]]);
    assert.ok(Math.abs(line.slope - 2) < 1e-9);
    assert.ok(Math.abs(line.fixed - 5) < 1e-9);
    assert.ok(line.residual < 1e-9);
});

test("points that are not on a line give a residual, so that a wrong model is visible", () => {
    const line = computeFittedLine([[0, 0], [1, 3], [2, 0]]);
    assert.ok(Math.abs(line.slope) < 1e-9);
    // The fit is 1 at each size; the residuals are -1, 2 and -1.
    assert.ok(Math.abs(line.residual - Math.sqrt(2) / 3) < 1e-9);
});
