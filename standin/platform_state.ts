/**
 * State of the stand-in platform: versioned values with long-polling reads, a mode, and a count of reads.
 *
 * @module
 */
import { PlatformMode } from "./platform_mode.ts";
import type { VersionedValue } from "./versioned_value.ts";

/** Values by name; the instance list is the value `instances`. */
export class PlatformState {
    private mode: PlatformMode = PlatformMode.Normal;
    private delayMs = 0;
    private readCount = 0;
    private values = new Map<string, VersionedValue>();
    private staleValues = new Map<string, VersionedValue>();
    private waiters = new Set<() => void>();

    getMode(): PlatformMode {
        return this.mode;
    }

    getDelayMs(): number {
        return this.delayMs;
    }

    getReadCount(): number {
        return this.readCount;
    }

    setMode(mode: PlatformMode, delayMs: number): void {
        this.mode = mode;
        this.delayMs = delayMs;
        this.staleValues = new Map(this.values);
        this.releaseWaiters();
    }

    /** Sets a value and returns its version: the given one, or the previous one plus 1. */
    setValue(name: string, content: string, version?: number): number {
        const next = version ?? (this.values.get(name)?.version ?? 0) + 1;
        this.values.set(name, { version: next, content });
        this.releaseWaiters();
        return next;
    }

    /** Counts a read; waits up to `waitMs` for a version above `afterVersion`; undefined if there is none. */
    async read(name: string, afterVersion: number, waitMs: number): Promise<VersionedValue | undefined> {
        this.readCount += 1;
        const endMs = Date.now() + waitMs;
        for (;;) {
            const values = this.mode === PlatformMode.Stale ? this.staleValues : this.values;
            const value = values.get(name);
            if (value !== undefined && value.version > afterVersion) {
                return value;
            }
            const remainingMs = endMs - Date.now();
            if (remainingMs <= 0 || this.mode === PlatformMode.Absent) {
                return undefined;
            }
            await this.waitForChange(remainingMs);
        }
    }

    private waitForChange(timeoutMs: number): Promise<void> {
        return new Promise(resolve => {
            const release = () => {
                clearTimeout(timer);
                this.waiters.delete(release);
                resolve();
            };
            const timer = setTimeout(release, timeoutMs);
            this.waiters.add(release);
        });
    }

    private releaseWaiters(): void {
        for (const release of [...this.waiters]) {
            release();
        }
    }
}
