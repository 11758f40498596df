/**
 * Evidence of one sender about its paths to owners. It makes only this sender route around a bad path and
 * says nothing about the upstreams behind it.
 *
 * @module
 */

/**
 * First and longest time in milliseconds for which a path that failed is avoided; the time doubles in
 * between.
 */
const firstAvoidMs = 500;
const longestAvoidMs = 10_000;

interface PathState {
    readonly avoidMs: number;
    readonly avoidUntilMs: number;
}

/** Keeps the paths whose last attempt failed. */
export class PathTable {
    private readonly failed = new Map<string, PathState>();

    /** Counts an attempt that was refused, cut or not answered on the way to the owner. */
    recordFailure(ownerId: string, nowMs: number): void {
        const known = this.failed.get(ownerId);
        if (known !== undefined && nowMs < known.avoidUntilMs) {
            return;
        }
        const avoidMs = known === undefined ? firstAvoidMs : Math.min(longestAvoidMs, known.avoidMs * 2);
        this.failed.set(ownerId, { avoidMs, avoidUntilMs: nowMs + avoidMs });
    }

    recordSuccess(ownerId: string): void {
        this.failed.delete(ownerId);
    }

    /**
     * After the time to avoid it, idempotent work tries the path first, other work after the same time again.
     */
    isAvoided(ownerId: string, idempotent: boolean, nowMs: number): boolean {
        const state = this.failed.get(ownerId);
        return state !== undefined && nowMs < state.avoidUntilMs + (idempotent ? 0 : state.avoidMs);
    }
}
