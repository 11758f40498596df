/**
 * Queries the platform and several peers before a new daemon serves, so that a stale platform alone does not
 * decide.
 *
 * @example
 * ```ts
 * const query = new StartupQuery({ platform, configuration, instances, gossip, selector, store, timers,
 *     logger });
 * const result = await query.run();
 * ```
 *
 * @module
 */
import { err, ok, type Result } from "neverthrow";
import type { ActiveConfigReader } from "../config/active_config_reader.ts";
import { Code } from "../core/code.ts";
import { createFailure } from "../core/create_failure.ts";
import type { Failure } from "../core/failure.ts";
import type { Filter } from "../core/filter.ts";
import { LogLevel } from "../core/log_level.ts";
import type { Logger } from "../core/logger.ts";
import type { Timers } from "../core/timers.ts";
import type { InstanceList } from "../published/instance_list.ts";
import type { PlatformReader } from "../published/platform_reader.ts";
import type { PlatformValue } from "../published/platform_value.ts";
import type { HeadsSender } from "./heads_sender.ts";
import type { PeerSelector } from "./peer_selector.ts";
import type { StartupReport } from "./startup_report.ts";

interface Options {
    readonly platform: PlatformReader;
    readonly configuration: Filter<PlatformValue, unknown>;
    readonly instances: Filter<InstanceList, unknown>;
    readonly gossip: HeadsSender;
    readonly selector: PeerSelector;
    readonly store: ActiveConfigReader;
    readonly timers: Timers;
    readonly logger: Logger;
    /** Number of peers that should reply; the default is three. */
    readonly peers?: number;
    /** Milliseconds after which the daemon continues with what it has received; the default is 5 s. */
    readonly limitMs?: number;
}

/** Query that a daemon runs once when it starts. */
export class StartupQuery {
    private platformReplied = false;
    private readonly askedAddresses = new Set<string>();
    private answered = 0;

    constructor(private readonly options: Options) {}

    /** Fails with `NotReady` when no configuration is active at the end; the platform watches still start. */
    async run(): Promise<Result<StartupReport, Failure>> {
        await this.waitWithLimit(this.runQueries());
        const report = { platform: this.platformReplied, peers: this.answered };
        const version = this.options.store.getActive()?.version;
        this.options.logger.write(LogLevel.Info, "startup_query", { ...report, version: version ?? 0 });
        return version === undefined ? err(createFailure(Code.NotReady)) : ok({ ...report, version });
    }

    private async runQueries(): Promise<void> {
        // The platform's instance list names the peers; without it the addresses from the settings are asked.
        const peersAfterList = this.fetchInstances().then(() => this.sendToPeers());
        await Promise.all([this.fetchConfiguration(), this.sendToPeers(), peersAfterList]);
        // Peers may have replied with a list that names more of them.
        await this.sendToPeers();
    }

    private async fetchConfiguration(): Promise<void> {
        const value = await this.options.platform.fetchValue("head", 0, 0);
        if (value.isOk() && value.value !== undefined) {
            this.platformReplied = true;
            await this.options.configuration.apply(value.value);
        }
    }

    private async fetchInstances(): Promise<void> {
        const list = await this.options.platform.fetchInstances(0, 0);
        if (list.isOk() && list.value !== undefined) {
            await this.options.instances.apply(list.value);
        }
    }

    /** Asks as many new peers as replies are missing, in at most two rounds. */
    private async sendToPeers(): Promise<void> {
        for (let round = 0; round < 2; round++) {
            const missing = (this.options.peers ?? 3) - this.answered;
            if (missing <= 0) {
                return;
            }
            const newPeers = this.options.selector.select(2 * missing + this.askedAddresses.size)
                .filter(peer => !this.askedAddresses.has(peer.address))
                .slice(0, missing);
            await Promise.all(newPeers.map(async peer => {
                this.askedAddresses.add(peer.address);
                const hasReplied = await this.options.gossip.sendHeads(peer);
                this.answered += hasReplied ? 1 : 0;
            }));
        }
    }

    private waitWithLimit(work: Promise<void>): Promise<void> {
        return new Promise(resolve => {
            const timer = this.options.timers.start(this.options.limitMs ?? 5_000, resolve);
            void work.then(() => {
                timer.close();
                resolve();
            });
        });
    }
}
