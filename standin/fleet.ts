/**
 * Runs a platform, upstreams and daemons as processes on loopback, for the demo and for tests.
 *
 * @example
 * ```ts
 * const services = ["accounts"];
 * const fleet = await Fleet.start({ configuration, services, daemons: 3, slots: 3, failureDomains });
 * await fetch(`${fleet.daemons[0].callerUrl}/accounts/7/balance`);
 * await fleet.close();
 * ```
 *
 * @module
 */
import type { ExecutionRecord } from "./execution_record.ts";
import { findFreePorts } from "./find_free_ports.ts";
import type { FleetDaemon } from "./fleet_daemon.ts";
import type { FleetOptions } from "./fleet_options.ts";
import type { FleetProcess } from "./fleet_process.ts";
import { Link } from "./link.ts";
import { ProcessHandle } from "./process_handle.ts";
import { waitUntil } from "./wait_until.ts";

const START_TIMEOUT_MS = 20_000;
const PORTS_PER_DAEMON = 3;
const daemonPath = "dist/zinniaglade";
const standinPath = "dist/standin.cjs";

interface FleetUpstream {
    readonly id: string;
    readonly service: string;
    readonly address: string;
    /** Index of the daemon that owns the upstream. */
    readonly daemon: number;
    process: ProcessHandle;
}

/** A platform, upstreams and daemons; `close` ends only the processes that this fleet started. */
export class Fleet {
    readonly daemons: FleetDaemon[] = [];
    readonly upstreams: FleetUpstream[] = [];
    private readonly started: FleetProcess[] = [];

    private constructor(
        private readonly options: FleetOptions,
        private readonly platform: ProcessHandle,
        readonly platformUrl: string,
    ) {
        this.started.push({ name: "platform", process: platform });
    }

    static async start(options: FleetOptions): Promise<Fleet> {
        const upstreamCount = options.daemons * options.services.length;
        const [platformPort, ...ports] = await findFreePorts(
            1 + upstreamCount + options.daemons * PORTS_PER_DAEMON,
        );
        const address = `127.0.0.1:${platformPort}`;
        const platform = new ProcessHandle(process.execPath, [standinPath, "platform", address]);
        const fleet = new Fleet(options, platform, `http://${address}`);
        try {
            await fleet.startProcesses(ports.slice(0, upstreamCount), ports.slice(upstreamCount));
        }
        catch (error) {
            await fleet.close();
            throw error;
        }
        return fleet;
    }

    /** Publishes a value; the platform assigns the next version unless one is given. */
    async setValue(name: string, content: string, version?: number): Promise<void> {
        const query = version === undefined ? "" : `?version=${version}`;
        await fetch(`${this.platformUrl}/control/values/${name}${query}`, { method: "PUT", body: content });
    }

    /** Publishes the instance list; the upstreams in `leaving` are marked as leaving. */
    async setInstances(leaving: ReadonlySet<string>): Promise<void> {
        const list = this.upstreams.map(upstream => {
            const daemon = this.daemons[upstream.daemon]!;
            return {
                id: upstream.id,
                service: upstream.service,
                failureDomain: daemon.failureDomain,
                region: "local",
                ownerId: daemon.id,
                ownerAddress: daemon.link?.getAddress() ?? daemon.peerAddress,
                leaving: leaving.has(upstream.id),
            };
        });
        await this.setValue("instances", JSON.stringify(list));
    }

    /** Sets the platform to `normal`, `stale` or `absent`, the values of `PlatformMode`. */
    async setPlatformMode(mode: string): Promise<void> {
        await fetch(`${this.platformUrl}/control/mode?mode=${mode}`, { method: "PUT" });
    }

    /** Changes the given fields of an upstream's behaviour. */
    async setBehaviour(upstreamId: string, behaviour: object): Promise<void> {
        const upstream = this.upstreams.find(({ id }) => id === upstreamId)!;
        await fetch(`http://${upstream.address}/control/behaviour`, {
            method: "PUT",
            body: JSON.stringify(behaviour),
        });
    }

    /** Returns the histories of all upstreams, each record with the id of its upstream. */
    async fetchHistory(): Promise<readonly (ExecutionRecord & { readonly upstreamId: string; })[]> {
        const histories = await Promise.all(this.upstreams.map(async ({ address, id }) => {
            const response = await fetch(`http://${address}/control/history`);
            const records = await response.json() as ExecutionRecord[];
            return records.map(record => ({ ...record, upstreamId: id }));
        }));
        return histories.flat();
    }

    /** Starts a daemon and waits until it serves; a daemon that is started again is a new incarnation. */
    async startDaemon(index: number, flags: readonly string[] = []): Promise<void> {
        const daemon = this.daemons[index]!;
        daemon.process = new ProcessHandle(daemonPath, ["serve", ...daemon.flags, ...flags]);
        this.started.push({ name: daemon.id, process: daemon.process });
        await waitUntil(`${daemon.id} serves`, START_TIMEOUT_MS, async () => {
            const response = await fetch(`http://${daemon.adminAddress}/v1/status`);
            const status = await response.json() as { state: string; };
            return status.state === "serving";
        });
    }

    /** Returns all processes that were started, including those that have ended. */
    listProcesses(): readonly FleetProcess[] {
        return this.started;
    }

    async close(): Promise<void> {
        await Promise.all(this.started.map(({ process }) => process.close()));
        await Promise.all(this.daemons.map(async daemon => daemon.link?.close()));
    }

    private async startProcesses(
        upstreamPorts: readonly number[],
        daemonPorts: readonly number[],
    ): Promise<void> {
        const { configuration, hasLinks, startTimeoutMs = START_TIMEOUT_MS } = this.options;
        await waitUntil("platform started", startTimeoutMs, () => this.platform.stdoutLines.length > 0);
        this.startUpstreams(upstreamPorts);
        await waitUntil(
            "upstreams started",
            startTimeoutMs,
            () => this.upstreams.every(upstream => upstream.process.stdoutLines.length > 0),
        );
        this.addDaemons(daemonPorts);
        if (hasLinks === true) {
            for (const daemon of this.daemons) {
                daemon.link = await Link.open(daemon.peerAddress);
            }
        }
        await this.setValue("head", configuration);
        await this.setInstances(new Set());
        await Promise.all(this.daemons.map((_, index) => this.startDaemon(index)));
    }

    private startUpstreams(ports: readonly number[]): void {
        for (const [index, port] of ports.entries()) {
            const service = this.options.services[index % this.options.services.length]!;
            const daemonIndex = Math.floor(index / this.options.services.length);
            const id = `${service}-${daemonIndex + 1}`;
            const address = `127.0.0.1:${port}`;
            const behaviour = JSON.stringify(this.options.behaviour ?? {});
            const args = [
                standinPath,
                "upstream",
                id,
                service,
                address,
                `${this.options.slots}`,
                behaviour,
            ];
            const upstream = new ProcessHandle(process.execPath, args);
            this.upstreams.push({ id, service, address, daemon: daemonIndex, process: upstream });
            this.started.push({ name: id, process: upstream });
        }
    }

    private addDaemons(ports: readonly number[]): void {
        const { failureDomains, flags = [], slots } = this.options;
        for (let index = 0; index < this.options.daemons; index += 1) {
            const [caller, peer, admin] = ports.slice(index * PORTS_PER_DAEMON).map(port =>
                `127.0.0.1:${port}`
            );
            const id = `daemon-${index + 1}`;
            const failureDomain = failureDomains[index % failureDomains.length]!;
            const owned = this.upstreams.filter(upstream => upstream.daemon === index)
                .map(upstream => `${upstream.id}=${upstream.service}@${upstream.address}/${slots}`);
            this.daemons.push({
                id,
                callerUrl: `http://${caller}`,
                peerAddress: peer!,
                adminAddress: admin!,
                failureDomain,
                flags: [
                    `--daemon-id=${id}`,
                    `--failure-domain=${failureDomain}`,
                    `--caller-address=${caller}`,
                    `--peer-address=${peer}`,
                    `--admin-address=${admin}`,
                    `--platform-url=${this.platformUrl}`,
                    `--upstreams=${owned.join(",")}`,
                    ...flags,
                ],
                link: undefined,
                process: undefined!,
            });
        }
    }
}
