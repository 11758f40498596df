/**
 * Evidence of one entry daemon about its paths to owners. It makes only this daemon route around a failing
 * path and is no evidence about the upstreams of the owner.
 *
 * @module
 */

/**
 * First and longest time in milliseconds for which a failed path is avoided; the time doubles at each further
 * failure.
 */
const minAvoidMs = 500;
const maxAvoidMs = 10_000;

interface PathState {
    readonly avoidMs: number;
    readonly avoidUntilMs: number;
}

/** Keeps the paths on which the last attempt failed. */
export class PathTable {
    private readonly failed = new Map<string, PathState>();

    /** Records an attempt that was refused, cut off or not answered on the path to the owner. */
    recordFailure(ownerId: string, nowMs: number): void {
        const known = this.failed.get(ownerId);
        if (known !== undefined && nowMs < known.avoidUntilMs) {
            return;
        }
        const avoidMs = known === undefined ? minAvoidMs : Math.min(maxAvoidMs, known.avoidMs * 2);
        this.failed.set(ownerId, { avoidMs, avoidUntilMs: nowMs + avoidMs });
    }

    recordSuccess(ownerId: string): void {
        this.failed.delete(ownerId);
    }

    /**
     * After the avoidance time idempotent requests use the path again; other requests wait for the same time
     * once more.
     */
    isAvoided(ownerId: string, idempotent: boolean, nowMs: number): boolean {
        const state = this.failed.get(ownerId);
        return state !== undefined && nowMs < state.avoidUntilMs + (idempotent ? 0 : state.avoidMs);
    }
}
