import { LogLevel } from "../core/log_level.ts";
import type { Logger } from "../core/logger.ts";

interface Refusals {
    count: number;
    readonly sinceMs: number;
}

/** Time between two lines about the same organisation. */
const periodMs = 5_000;
/** Organisations about which lines are held back; with more, counting starts again. */
const maxOrganisations = 1_000;

/** Writes one line for the first refusal of an organisation, and then one in each period with their number. */
export class RefusalLog {
    private readonly refusals = new Map<string, Refusals>();

    constructor(private readonly logger: Logger) {}

    record(organisation: string, retryAfterMs: number, nowMs: number): void {
        const known = this.refusals.get(organisation);
        if (known !== undefined && nowMs - known.sinceMs < periodMs) {
            known.count += 1;
            return;
        }
        if (known === undefined && this.refusals.size >= maxOrganisations) {
            this.refusals.clear();
        }
        this.refusals.set(organisation, { count: 0, sinceMs: nowMs });
        const refused = 1 + (known?.count ?? 0);
        this.logger.write(LogLevel.Warn, "usage_cap_reached", { organisation, refused, retryAfterMs });
    }
}
