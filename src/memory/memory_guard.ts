/**
 * Lets transfers wait for room in the memory account. While any waits, or the account is exceeded, it closes in each
 * round the transfers that the progress table selects, and refuses those that have waited too many rounds.
 *
 * @example
 * ```ts
 * const guard = new MemoryGuard({ account, progress, timers, logger, metrics });
 * const charge = await guard.waitForCharge(MemoryHolder.RequestBody, bytes, signal);
 * ```
 *
 * @module
 */
import { LogLevel } from "../core/log_level.ts";
import type { Logger } from "../core/logger.ts";
import type { Metrics } from "../core/metrics.ts";
import type { Timers } from "../core/timers.ts";
import type { BoundedMemoryAccount } from "./bounded_memory_account.ts";
import type { BufferCollector } from "./buffer_collector.ts";
import type { MemoryCharge } from "./memory_charge.ts";
import { MemoryHolder } from "./memory_holder.ts";
import type { MemoryUser } from "./memory_user.ts";
import type { ProgressTable } from "./progress_table.ts";

interface Options {
    readonly account: BoundedMemoryAccount;
    readonly progress: ProgressTable;
    readonly collector: BufferCollector;
    readonly timers: Timers;
    readonly logger: Logger;
    readonly metrics: Metrics;
}

interface Room {
    readonly bytes: number;
    /** Bytes of the charge with the others that it has. */
    readonly totalBytes: number;
}

interface Waiter {
    readonly room: Room;
    /** Charges the bytes; false when there is still no room. */
    readonly run: () => boolean;
    readonly close: (charged: boolean) => void;
    rounds: number;
}

/** Milliseconds of a round; a client on the instance sends about 300 KB in that time at 10 Mbit/s. */
const roundMs = 250;
/** Rounds after which a transfer that waits is refused, so that its caller still has time to try elsewhere. */
const maxRounds = 4;
/**
 * Transfers that wait, from which the body of a further request is refused at once. Each holds up to 64 KB that have been
 * read with its head and are not charged.
 */
const maxWaiting = 64;

export class MemoryGuard {
    private readonly waiters = new Set<Waiter>();
    private isRunning = false;
    private hasStartedWaiters = false;

    constructor(private readonly options: Options) {
        options.account.setReleaseListener(bytes => {
            options.collector.recordReleased(bytes);
            this.startWaiters();
        });
    }

    /** Undefined when no room was found in time or the signal was aborted. */
    async waitForCharge(
        holder: MemoryHolder,
        bytes: number,
        signal: AbortSignal,
    ): Promise<MemoryCharge | undefined> {
        if (holder === MemoryHolder.RequestBody && this.waiters.size >= maxWaiting) {
            return this.openCharge(holder, bytes);
        }
        let charge: MemoryCharge | undefined;
        await this.waitForRoom({ bytes, totalBytes: bytes }, () => {
            charge = this.options.account.openCharge(holder, bytes);
            return charge !== undefined;
        }, signal);
        return charge;
    }

    /** Charges further bytes; false when no room was found in time or the signal was aborted. */
    waitForBytes(charge: MemoryCharge, bytes: number, signal: AbortSignal): Promise<boolean> {
        return this.waitForRoom(
            { bytes, totalBytes: charge.getBytes() + bytes },
            () => charge.add(bytes),
            signal,
        );
    }

    /** Undefined when there is no room now. */
    openCharge(holder: MemoryHolder, bytes: number): MemoryCharge | undefined {
        return this.options.account.openCharge(holder, bytes);
    }

    /** Bytes that are charged now, by one holder or by all. */
    getChargedBytes(holder?: MemoryHolder): number {
        return this.options.account.getChargedBytes(holder);
    }

    reportCharges(): void {
        for (const holder of Object.values(MemoryHolder)) {
            this.options.metrics.setGauge("memory.charged", this.getChargedBytes(holder), { holder });
        }
    }

    countWaiting(): number {
        return this.waiters.size;
    }

    /** Makes a transfer one that is closed when it does not progress while memory is short. */
    register(user: MemoryUser): void {
        this.options.progress.register(user);
    }

    release(user: MemoryUser): void {
        this.options.progress.release(user);
    }

    /** Reports the bytes of buffers that were read into and dropped. */
    recordDropped(bytes: number): void {
        this.options.collector.recordDropped(bytes);
    }

    /** Charges bytes that exist already; transfers without progress are closed while the account is exceeded. */
    addCharge(holder: MemoryHolder, bytes: number): MemoryCharge {
        const charge = this.options.account.addCharge(holder, bytes);
        this.startRounds();
        return charge;
    }

    private waitForRoom(room: Room, run: () => boolean, signal: AbortSignal): Promise<boolean> {
        if (signal.aborted) {
            return Promise.resolve(false);
        }
        const isNext = this.waiters.size === 0 || this.options.account.isPreferred(room.totalBytes);
        if (isNext && run()) {
            return Promise.resolve(true);
        }
        return new Promise(resolve => {
            const cancel = (): void => this.closeWaiter(waiter, false);
            const waiter: Waiter = {
                room,
                run,
                rounds: 0,
                close: charged => {
                    signal.removeEventListener("abort", cancel);
                    resolve(charged);
                },
            };
            this.waiters.add(waiter);
            signal.addEventListener("abort", cancel, { once: true });
            this.startRounds();
        });
    }

    /** Bytes that must come free for all that wait; 0 when room was found since the round began. */
    private computeNeededBytes(): number {
        const rooms = [...this.waiters].map(({ room }) => room);
        const waitingBytes = rooms.reduce((bytes, room) => bytes + room.bytes, 0);
        // A large transfer does not use the reserved part, so less is free for it.
        const freeBytes = Math.min(
            ...[0, ...rooms.map(({ totalBytes }) => totalBytes)].map(bytes =>
                this.options.account.getFreeBytes(bytes)
            ),
        );
        return Math.max(rooms.length > 0 ? 1 : 0, waitingBytes - freeBytes);
    }

    private closeWaiter(waiter: Waiter, charged: boolean): void {
        this.waiters.delete(waiter);
        waiter.close(charged);
    }

    /**
     * Runs the waiters after the current event. The bytes of an answer that is passed on are released and charged again
     * in one event; a waiter that ran in between would exceed the account.
     */
    private startWaiters(): void {
        if (this.waiters.size > 0 && !this.hasStartedWaiters) {
            this.hasStartedWaiters = true;
            this.options.timers.start(0, () => {
                this.hasStartedWaiters = false;
                this.runWaiters();
            });
        }
    }

    /**
     * Runs transfers in the order in which they came. One that does not fit holds up those behind it, unless the account
     * prefers them: many small ones would otherwise take all room that comes free before it is enough for a larger one.
     */
    private runWaiters(): void {
        let isHeldUp = false;
        for (const waiter of this.waiters) {
            if (isHeldUp && !this.options.account.isPreferred(waiter.room.totalBytes)) {
                continue;
            }
            if (waiter.run()) {
                this.closeWaiter(waiter, true);
            }
            else {
                isHeldUp = true;
            }
        }
    }

    private startRounds(): void {
        if (!this.isRunning && (this.waiters.size > 0 || this.options.account.isExceeded())) {
            this.isRunning = true;
            this.options.timers.start(roundMs, () => this.runRound());
        }
    }

    private runRound(): void {
        const { account, collector, logger, metrics, progress } = this.options;
        for (const victim of progress.selectVictims(this.computeNeededBytes())) {
            metrics.addCount("memory.closed");
            logger.write(LogLevel.Warn, "transfer_closed", {
                cause: "memory",
                heldBytes: victim.getHeldBytes(),
                progressBytes: victim.getProgressBytes(),
                chargedBytes: account.getChargedBytes(),
            });
            victim.close();
        }
        this.runWaiters();
        collector.purge();
        for (const waiter of this.waiters) {
            waiter.rounds += 1;
            if (waiter.rounds >= maxRounds) {
                metrics.addCount("memory.refused");
                this.closeWaiter(waiter, false);
            }
        }
        this.isRunning = false;
        this.startRounds();
    }
}
