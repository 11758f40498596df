/**
 * Control pipelines from the platform: watches configuration and instance list and passes each new version
 * through its pipeline.
 *
 * @example
 * ```ts
 * const watcher = new PlatformWatcher({ platform, configuration: Pipeline.start(joinParts).pipe(order)..., ... });
 * watcher.start();
 * watcher.close();
 * ```
 *
 * @module
 */
import type { Filter } from "../core/filter.ts";
import { DocumentWatch } from "./document_watch.ts";
import type { DocumentWatchOptions } from "./document_watch_options.ts";
import type { InstanceList } from "./instance_list.ts";
import type { PlatformReader } from "./platform_reader.ts";
import type { PlatformValue } from "./platform_value.ts";

interface Options extends DocumentWatchOptions {
    readonly platform: PlatformReader;
    /** Joins, orders, parses and accepts the value `head`. */
    readonly configuration: Filter<PlatformValue, unknown>;
    /** Validates and merges the instance list. */
    readonly instances: Filter<InstanceList, unknown>;
}

/** The two watches of one daemon. */
export class PlatformWatcher {
    private readonly configuration: DocumentWatch<PlatformValue>;
    private readonly instances: DocumentWatch<InstanceList>;

    constructor(options: Options) {
        const { platform } = options;
        this.configuration = new DocumentWatch<PlatformValue>({
            name: "configuration",
            fetch: (afterVersion, waitMs) => platform.fetchValue("head", afterVersion, waitMs),
            apply: async document => options.configuration.apply(document),
        }, options);
        this.instances = new DocumentWatch<InstanceList>({
            name: "instances",
            fetch: (afterVersion, waitMs) => platform.fetchInstances(afterVersion, waitMs),
            apply: async document => options.instances.apply(document),
        }, options);
    }

    start(): void {
        this.configuration.start();
        this.instances.start();
    }

    close(): void {
        this.configuration.close();
        this.instances.close();
    }
}
