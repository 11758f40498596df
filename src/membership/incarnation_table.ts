/** Replaced incarnations kept per daemon; messages are delayed by seconds, and a restart takes longer. */
const maxReplaced = 8;

/** Current and replaced incarnations of the known daemons. */
export class IncarnationTable {
    private readonly current = new Map<string, string>();
    private readonly replaced = new Map<string, Set<string>>();

    getIncarnation(daemonId: string): string | undefined {
        return this.current.get(daemonId);
    }

    /** Returns true when the current incarnation changes; only a reply restores a replaced one. */
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

    /** True when the daemon has restarted since this incarnation. */
    isReplaced(daemonId: string, incarnation: string): boolean {
        return this.replaced.get(daemonId)?.has(incarnation) ?? false;
    }

    /** Removes the daemons that are not in the list. */
    removeUnlisted(listed: ReadonlyMap<string, unknown>): void {
        for (const id of [...this.current.keys()].filter(known => !listed.has(known))) {
            this.current.delete(id);
            this.replaced.delete(id);
        }
    }
}
