/**
 * Account of the bytes that a daemon holds, with a fixed capacity. A part of it is reserved for small charges, so
 * that a crowd with large bodies cannot keep ordinary requests out.
 *
 * @example
 * ```ts
 * const account = new BoundedMemoryAccount({ capacityBytes, reservedBytes, smallBytes, shortBytes });
 * const charge = account.openCharge(MemoryHolder.RequestBody, 1_000_000);
 * charge?.close();
 * ```
 *
 * @module
 */
import type { MemoryAccount } from "./memory_account.ts";
import type { MemoryCharge } from "./memory_charge.ts";
import type { MemoryHolder } from "./memory_holder.ts";

interface Options {
    readonly capacityBytes: number;
    /** Part of the capacity that only small charges use. */
    readonly reservedBytes: number;
    /** Most bytes of a small charge. */
    readonly smallBytes: number;
    /** Most bytes of a charge so small that one for each connection leaves most of the capacity. */
    readonly shortBytes: number;
}

export class BoundedMemoryAccount implements MemoryAccount {
    private readonly bytesByHolder = new Map<MemoryHolder, number>();
    private bytes = 0;
    /** Bytes of the small charges among them. */
    private smallChargedBytes = 0;
    private handleRelease: (bytes: number) => void = () => undefined;

    constructor(private readonly options: Options) {}

    openCharge(holder: MemoryHolder, bytes: number): MemoryCharge | undefined {
        return this.hasRoom(bytes, bytes) ? this.addCharge(holder, bytes) : undefined;
    }

    addCharge(holder: MemoryHolder, bytes: number): MemoryCharge {
        this.addBytes(holder, bytes);
        this.updateSmallBytes(0, bytes);
        let chargedBytes = bytes;
        let closed = false;
        return {
            add: added => {
                if (closed || !this.hasRoom(added, chargedBytes + added)) {
                    return false;
                }
                this.addBytes(holder, added);
                this.updateSmallBytes(chargedBytes, chargedBytes + added);
                chargedBytes += added;
                return true;
            },
            getBytes: () => closed ? 0 : chargedBytes,
            close: () => {
                if (!closed) {
                    closed = true;
                    this.addBytes(holder, -chargedBytes);
                    this.updateSmallBytes(chargedBytes, 0);
                    this.handleRelease(chargedBytes);
                }
            },
        };
    }

    getChargedBytes(holder?: MemoryHolder): number {
        return holder === undefined ? this.bytes : this.bytesByHolder.get(holder) ?? 0;
    }

    /** Bytes left for a charge of `totalBytes`; negative while the capacity is exceeded. */
    getFreeBytes(totalBytes: number): number {
        return this.getLimitBytes(totalBytes) - this.bytes;
    }

    /**
     * True for a charge that may be opened before others that wait: a short one, and a small one while all small ones
     * together need no more than the reserved part.
     */
    isPreferred(bytes: number): boolean {
        const { reservedBytes, shortBytes, smallBytes } = this.options;
        return bytes <= shortBytes || bytes <= smallBytes && this.smallChargedBytes + bytes <= reservedBytes;
    }

    /** True while charges of bytes that existed already exceed the capacity. */
    isExceeded(): boolean {
        return this.bytes > this.options.capacityBytes;
    }

    /** Calls `listener` after each release with its bytes. */
    setReleaseListener(listener: (bytes: number) => void): void {
        this.handleRelease = listener;
    }

    /** `totalBytes` are those of the charge with the added ones. */
    private hasRoom(addedBytes: number, totalBytes: number): boolean {
        return addedBytes <= this.getFreeBytes(totalBytes);
    }

    /** Most charged bytes with a charge of `totalBytes` among them. */
    private getLimitBytes(totalBytes: number): number {
        const { capacityBytes, reservedBytes, smallBytes } = this.options;
        return totalBytes <= smallBytes ? capacityBytes : capacityBytes - reservedBytes;
    }

    private updateSmallBytes(before: number, after: number): void {
        const countSmall = (bytes: number): number => bytes <= this.options.smallBytes ? bytes : 0;
        this.smallChargedBytes += countSmall(after) - countSmall(before);
    }

    private addBytes(holder: MemoryHolder, bytes: number): void {
        this.bytes += bytes;
        this.bytesByHolder.set(holder, this.getChargedBytes(holder) + bytes);
    }
}
