import assert from "node:assert/strict";
import { Fleet } from "../../standin/fleet.ts";
import type { FleetOptions } from "../../standin/fleet_options.ts";
import type { ReadLoad } from "./read_load.ts";
import { writeLogs } from "./write_logs.ts";

/** The fleet and the loads of the running scenario. */
class FleetWorld {
    private fleet: Fleet | undefined;
    private readonly loads: ReadLoad[] = [];
    private observations: string[] = [];

    async start(options: FleetOptions): Promise<void> {
        this.fleet = await Fleet.start(options);
    }

    get(): Fleet {
        assert.ok(this.fleet);
        return this.fleet;
    }

    /** Adds a load that is closed before the fleet. */
    addLoad(load: ReadLoad): void {
        this.loads.push(load);
    }

    /** Records what a step observed for the logs of a failed scenario, unless it repeats the previous one. */
    recordObservation(text: string): void {
        if (this.observations.at(-1)?.endsWith(` ${text}`) !== true) {
            this.observations.push(`${new Date().toISOString()} ${text}`);
        }
    }

    /** Writes the logs of a failed scenario; returns the file name, undefined if no fleet was started. */
    async writeLogs(name: string): Promise<string | undefined> {
        const { fleet, observations } = this;
        return fleet && await writeLogs({ fleet, name, observations });
    }

    async close(): Promise<void> {
        this.observations = [];
        await Promise.all(this.loads.splice(0).map(load => load.close()));
        await this.fleet?.close();
        this.fleet = undefined;
    }
}

/** Shared by the steps of all features; scenarios run one after another. */
export const fleetWorld = new FleetWorld();
