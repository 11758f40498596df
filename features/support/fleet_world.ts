import assert from "node:assert/strict";
import { Fleet } from "../../standin/fleet.ts";
import type { FleetOptions } from "../../standin/fleet_options.ts";
import type { ReadLoad } from "./read_load.ts";

/** The fleet of the running scenario. */
class FleetWorld {
    private fleet: Fleet | undefined;
    private readonly loads: ReadLoad[] = [];

    async start(options: FleetOptions): Promise<void> {
        this.fleet = await Fleet.start(options);
    }

    get(): Fleet {
        assert.ok(this.fleet);
        return this.fleet;
    }

    /** A load that ends before the fleet does. */
    add(load: ReadLoad): void {
        this.loads.push(load);
    }

    async close(): Promise<void> {
        await Promise.all(this.loads.splice(0).map(load => load.close()));
        await this.fleet?.close();
        this.fleet = undefined;
    }
}

/** Shared by the steps of all features; scenarios run one after another. */
export const fleetWorld = new FleetWorld();
