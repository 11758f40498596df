import type { Result } from "neverthrow";
import type { Failure } from "../core/failure.ts";

/** One document of the platform that is watched. */
export interface WatchSource<Document extends { readonly version: number; }> {
    readonly name: string;
    fetch(afterVersion: number, waitMs: number): Promise<Result<Document | undefined, Failure>>;
    /** Passes a document through its control pipeline. */
    apply(document: Document): Promise<Result<unknown, Failure>>;
}
