import type { RunReader } from "./run_reader.ts";

/** Organisations of the requests that upstreams of this daemon run, by request identifier. */
export class RunTable implements RunReader {
    /** An identifier can run twice at the same time, when a hedge reaches another upstream of this daemon. */
    private readonly runs = new Map<string, { readonly organisation: string; count: number; }>();

    add(requestId: string, organisation: string): void {
        const run = this.runs.get(requestId);
        if (run === undefined) {
            this.runs.set(requestId, { organisation, count: 1 });
        }
        else {
            run.count += 1;
        }
    }

    remove(requestId: string): void {
        const run = this.runs.get(requestId);
        if (run !== undefined) {
            run.count -= 1;
            if (run.count === 0) {
                this.runs.delete(requestId);
            }
        }
    }

    findOrganisation(requestId: string): string | undefined {
        return this.runs.get(requestId)?.organisation;
    }
}
