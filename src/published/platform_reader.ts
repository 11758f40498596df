import type { Result } from "neverthrow";
import type { Failure } from "../core/failure.ts";
import type { InstanceList } from "./instance_list.ts";
import type { PlatformValue } from "./platform_value.ts";

/** Reads and watches the platform. Each call counts as one read, including a watch that waits. */
export interface PlatformReader {
    /** Waits up to `waitMs` for a version after `afterVersion`; undefined when there is none. */
    fetchValue(
        name: string,
        afterVersion: number,
        waitMs: number,
    ): Promise<Result<PlatformValue | undefined, Failure>>;
    fetchInstances(afterVersion: number, waitMs: number): Promise<Result<InstanceList | undefined, Failure>>;
    close(): void;
}
