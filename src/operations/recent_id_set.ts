/** Set of the last `capacity` identifiers, kept as a ring buffer: a new one replaces the oldest. */
export class RecentIdSet {
    private readonly slots: string[] = [];
    private readonly members = new Set<string>();
    private next = 0;

    constructor(private readonly capacity: number) {}

    add(id: string): void {
        if (this.members.has(id)) {
            return;
        }
        const oldest = this.slots[this.next];
        if (oldest !== undefined) {
            this.members.delete(oldest);
        }
        this.slots[this.next] = id;
        this.members.add(id);
        this.next = (this.next + 1) % this.capacity;
    }

    has(id: string): boolean {
        return this.members.has(id);
    }
}
