import type { Upstream } from "../core/upstream.ts";
import type { BackgroundLoad } from "./background_load.ts";
import { ServiceLoadTable } from "./service_load_table.ts";
import { UpstreamView } from "./upstream_view.ts";

/** What one entry daemon knows about each upstream and about the load of each service. */
export class UpstreamViewTable {
    readonly serviceLoads = new ServiceLoadTable();
    private readonly views = new Map<string, UpstreamView>();

    find(upstreamId: string): UpstreamView | undefined {
        return this.views.get(upstreamId);
    }

    /** `slots` are those of the instance list, when they are known. */
    get(upstreamId: string, slots?: number): UpstreamView {
        let view = this.views.get(upstreamId);
        if (view === undefined) {
            view = new UpstreamView(slots);
            this.views.set(upstreamId, view);
        }
        return view;
    }

    measureBackground(service: string, members: readonly Upstream[], nowMs: number): BackgroundLoad {
        return this.serviceLoads.measure(service, members.map(({ id, slots }) => this.get(id, slots)), nowMs);
    }
}
