import assert from "node:assert/strict";
import { Fleet } from "../../standin/fleet.ts";
import type { FleetOptions } from "../../standin/fleet_options.ts";

/** The fleet of the running scenario. */
class FleetWorld {
    private fleet: Fleet | undefined;

    async start(options: FleetOptions): Promise<void> {
        this.fleet = await Fleet.start(options);
    }

    get(): Fleet {
        assert.ok(this.fleet);
        return this.fleet;
    }

    async close(): Promise<void> {
        await this.fleet?.close();
        this.fleet = undefined;
    }
}

/** Shared by the steps of all features; scenarios run one after another. */
export const fleetWorld = new FleetWorld();
