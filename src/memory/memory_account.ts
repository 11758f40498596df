import type { MemoryCharge } from "./memory_charge.ts";
import type { MemoryHolder } from "./memory_holder.ts";

/** One account of the bytes that a daemon holds for its peers. Holds no socket, timer or clock. */
export interface MemoryAccount {
    /** Charges bytes before they are allocated. Undefined when the account has no room for this holder. */
    openCharge(holder: MemoryHolder, bytes: number): MemoryCharge | undefined;
    /** Charges bytes that exist already, also beyond the capacity. */
    addCharge(holder: MemoryHolder, bytes: number): MemoryCharge;
    /** Bytes that are charged now, by one holder or by all. */
    getChargedBytes(holder?: MemoryHolder): number;
}
