/**
 * Watches the configuration and the instance list of the platform and passes each new version through its
 * control pipeline.
 *
 * @example
 * ```ts
 * const watcher = new PlatformWatcher({ platform, configuration, instances, ...watchOptions });
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
    /** Pipeline that joins, checks, parses and activates the value `head`. */
    readonly configuration: Filter<PlatformValue, unknown>;
    /** Pipeline that validates and merges the instance list. */
    readonly instances: Filter<InstanceList, unknown>;
}

/** Watches of the configuration and the instance list. */
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
