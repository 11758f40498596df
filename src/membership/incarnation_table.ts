/** Replaced incarnations that are remembered for each daemon; a message is late by seconds, a restart takes longer. */
const maxReplaced = 8;

/** Incarnations of the known daemons: the current one and those that it replaced. */
export class IncarnationTable {
    private readonly current = new Map<string, string>();
    private readonly replaced = new Map<string, Set<string>>();

    getIncarnation(daemonId: string): string | undefined {
        return this.current.get(daemonId);
    }

    /** Returns true when the current incarnation changes; only a reply brings back a replaced one. */
    record(daemonId: string, incarnation: string, isReply: boolean): boolean {
        const before = this.current.get(daemonId);
        if (before === incarnation || (!isReply && this.isReplaced(daemonId, incarnation))) {
            return false;
        }
        this.current.set(daemonId, incarnation);
        this.replaced.get(daemonId)?.delete(incarnation);
        if (before !== undefined) {
            const replaced = [...this.replaced.get(daemonId) ?? [], before].slice(-maxReplaced);
            this.replaced.set(daemonId, new Set(replaced));
        }
        return true;
    }

    /** True when the daemon has restarted since it had this incarnation. */
    isReplaced(daemonId: string, incarnation: string): boolean {
        return this.replaced.get(daemonId)?.has(incarnation) ?? false;
    }

    /** Forgets the daemons that are not in the list. */
    removeUnlisted(listed: ReadonlyMap<string, unknown>): void {
        for (const id of [...this.current.keys()].filter(known => !listed.has(known))) {
            this.current.delete(id);
            this.replaced.delete(id);
        }
    }
}
