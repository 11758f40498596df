import type { Result } from "neverthrow";
import type { Failure } from "../core/failure.ts";

/** Document of the platform to watch. */
export interface WatchSource<Document extends { readonly version: number; }> {
    readonly name: string;
    fetch(afterVersion: number, waitMs: number): Promise<Result<Document | undefined, Failure>>;
    /** Passes a document through its control pipeline. */
    apply(document: Document): Promise<Result<unknown, Failure>>;
}
