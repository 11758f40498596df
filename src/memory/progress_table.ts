/**
 * Transfers that hold charged bytes, and how far each got between two rounds. Answers which ones to close when many
 * clients hold memory and stop: those that progressed least for their size. Uses no clock; rounds count.
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
     * Ends a round. Returns the transfers that made the least progress for their size since the last one, the largest
     * of equal ones first, until they hold `neededBytes` or more; none that progresses or has not been here for a whole
     * round.
     */
    selectVictims(neededBytes: number): readonly MemoryUser[] {
        const stalled: { readonly user: MemoryUser; readonly share: number; readonly heldBytes: number; }[] =
            [];
        for (const [user, before] of this.users) {
            const progress = user.getProgressBytes();
            const heldBytes = user.getHeldBytes();
            this.users.set(user, progress);
            const share = before === undefined ? Infinity : (progress - before) / heldBytes;
            if (heldBytes > 0 && share < leastProgressShare) {
                stalled.push({ user, share, heldBytes });
            }
        }
        stalled.sort((left, right) => left.share - right.share || right.heldBytes - left.heldBytes);
        const victims: MemoryUser[] = [];
        let bytes = 0;
        for (const { heldBytes, user } of stalled) {
            if (bytes >= neededBytes) {
                break;
            }
            victims.push(user);
            bytes += heldBytes;
        }
        return victims;
    }
}
