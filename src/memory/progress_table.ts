/**
 * Transfers that hold charged bytes, and how far each got between two rounds. Answers which one to close when many
 * clients hold memory and stop: the one that progressed least for its size. Uses no clock; rounds count.
 *
 * @module
 */
import type { MemoryUser } from "./memory_user.ts";

/** Progress in a round, as a share of the held bytes, from which a transfer is not closed. */
const leastProgressShare = 1 / 64;

export class ProgressTable {
    /** Progress at the last round; undefined for transfers that began since. */
    private readonly users = new Map<MemoryUser, number | undefined>();

    register(user: MemoryUser): void {
        this.users.set(user, undefined);
    }

    release(user: MemoryUser): void {
        this.users.delete(user);
    }

    /**
     * Ends a round. Returns the transfer that made the least progress for its size since the last one, the largest
     * of equal ones; undefined when all progress or have not been here for a whole round.
     */
    selectVictim(): MemoryUser | undefined {
        let victim: MemoryUser | undefined;
        let leastShare = leastProgressShare;
        for (const [user, before] of this.users) {
            const progress = user.getProgressBytes();
            const heldBytes = user.getHeldBytes();
            this.users.set(user, progress);
            if (before === undefined || heldBytes === 0) {
                continue;
            }
            const share = (progress - before) / heldBytes;
            if (
                share < leastShare ||
                victim !== undefined && share === leastShare && heldBytes > victim.getHeldBytes()
            ) {
                victim = user;
                leastShare = share;
            }
        }
        return victim;
    }
}
