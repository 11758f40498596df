import type { Clock } from "../core/clock.ts";
import { LogLevel } from "../core/log_level.ts";
import type { Logger } from "../core/logger.ts";
import type { Metrics } from "../core/metrics.ts";
import type { Timers } from "../core/timers.ts";
import type { MembershipTable } from "../membership/membership_table.ts";
import { computeDigest } from "./compute_digest.ts";
import type { ConfigStore } from "./config_store.ts";
import type { StoreChange } from "./store_change.ts";
import { StoreChangeKind } from "./store_change_kind.ts";
import type { StorePage } from "./store_page.ts";
import { StoreUpstreamTable } from "./store_upstream_table.ts";

interface Options {
    readonly configs: ConfigStore;
    readonly membership: MembershipTable;
    readonly clock: Clock;
    readonly timers: Timers;
    readonly logger: Logger;
    readonly metrics: Metrics;
}

type ConfigurationChange = Extract<StoreChange, { kind: typeof StoreChangeKind.Configuration; }>;

/** Most characters of the reason why a value is unreadable, in a log line. */
const maxDetailLength = 300;

/** Puts the values of the platform's store in force. */
export class StoreChangeApplier {
    readonly upstreams: StoreUpstreamTable;
    private isCurrent = true;

    constructor(private readonly options: Options) {
        this.upstreams = new StoreUpstreamTable(options);
    }

    /** Applies a page; a complete one removes the upstreams that it does not list. */
    apply(page: StorePage, isComplete: boolean): void {
        page.changes.forEach(change => this.applyChangeSafely(change, page, isComplete));
        if (isComplete) {
            this.upstreams.removeUnlisted(page);
        }
        this.upstreams.merge();
    }

    /** False when the store's configuration could not be put in force, or is older than the one in force. */
    isConfigurationCurrent(): boolean {
        return this.isCurrent;
    }

    /** A change that cannot be applied must not hide the others of its page. */
    private applyChangeSafely(change: StoreChange, page: StorePage, isComplete: boolean): void {
        try {
            this.applyChange(change, page.revision.era, isComplete);
        }
        catch (error) {
            this.isCurrent &&= change.kind !== StoreChangeKind.Configuration;
            this.options.logger.write(LogLevel.Error, "platform_change_failed", {
                revision: change.revision,
                detail: String(error).slice(0, maxDetailLength),
            });
        }
    }

    private applyChange(change: StoreChange, era: number, isComplete: boolean): void {
        const { logger, metrics } = this.options;
        const revision = { era, revision: change.revision };
        switch (change.kind) {
            case StoreChangeKind.Configuration: {
                this.applyConfiguration(change, era);
                break;
            }
            case StoreChangeKind.Upstream:
                this.upstreams.add(change.upstream, revision, isComplete);
                break;
            case StoreChangeKind.UpstreamRemoved:
                this.upstreams.remove(change.upstreamId, revision);
                break;
            case StoreChangeKind.Unreadable: {
                const { key, upstreamId } = change;
                const detail = change.detail.slice(0, maxDetailLength);
                metrics.addCount("platform.unreadable_values");
                logger.write(LogLevel.Warn, "platform_value_unreadable", {
                    key,
                    revision: change.revision,
                    detail,
                });
                if (upstreamId !== undefined) {
                    this.upstreams.remove(upstreamId, revision);
                }
                else if (key !== "") {
                    this.isCurrent = false;
                }
            }
        }
    }

    /** The version decides, and not the revision: a store that lost its newest seconds lists an older one for a while. */
    private applyConfiguration(
        { configuration, revision, source, version }: ConfigurationChange,
        era: number,
    ): void {
        const { configs, logger } = this.options;
        const activeVersion = configs.getActive()?.version ?? version;
        this.isCurrent = version >= activeVersion;
        if (era > 0 && !this.isCurrent) {
            logger.write(LogLevel.Info, "config_older_in_store", { version, activeVersion, revision, era });
            return;
        }
        const candidate = { version, digest: computeDigest(source), source, configuration };
        // Another text under the version in force is not in force, and may lack keys that this one has.
        this.isCurrent = configs.update(candidate, "platform").isOk();
    }
}
