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

/** Most characters of the reason why a value is unreadable, in a log line. */
const maxDetailLength = 300;

/** Puts the values of the platform's store in force. */
export class StoreChangeApplier {
    readonly upstreams: StoreUpstreamTable;
    private isReadable = true;

    constructor(private readonly options: Options) {
        this.upstreams = new StoreUpstreamTable(options);
    }

    /** Applies a page; a complete one removes the upstreams that it does not list. */
    apply(page: StorePage, isComplete: boolean): void {
        page.changes.forEach(change => this.applyChangeSafely(change));
        if (isComplete) {
            this.upstreams.removeUnlisted(page);
        }
        this.upstreams.merge();
    }

    /** False when the store's newest configuration could not be put in force. */
    isConfigurationReadable(): boolean {
        return this.isReadable;
    }

    /** A change that cannot be applied must not hide the others of its page. */
    private applyChangeSafely(change: StoreChange): void {
        try {
            this.applyChange(change);
        }
        catch (error) {
            this.isReadable &&= change.kind !== StoreChangeKind.Configuration;
            this.options.logger.write(LogLevel.Error, "platform_change_failed", {
                revision: change.revision,
                detail: String(error).slice(0, maxDetailLength),
            });
        }
    }

    private applyChange(change: StoreChange): void {
        const { configs, logger, metrics } = this.options;
        switch (change.kind) {
            case StoreChangeKind.Configuration: {
                const { configuration, source, version } = change;
                configs.update({ version, digest: computeDigest(source), source, configuration }, "platform");
                this.isReadable = true;
                break;
            }
            case StoreChangeKind.Upstream:
                this.upstreams.add(change.upstream, change.revision);
                break;
            case StoreChangeKind.UpstreamRemoved:
                this.upstreams.remove(change.upstreamId, change.revision);
                break;
            case StoreChangeKind.Unreadable: {
                const { key, revision, upstreamId } = change;
                const detail = change.detail.slice(0, maxDetailLength);
                metrics.addCount("platform.unreadable_values");
                logger.write(LogLevel.Warn, "platform_value_unreadable", { key, revision, detail });
                if (upstreamId !== undefined) {
                    this.upstreams.remove(upstreamId, revision);
                }
                else if (key !== "") {
                    this.isReadable = false;
                }
            }
        }
    }
}
