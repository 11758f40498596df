import type { Output } from "./output.ts";

/** Standard output and standard error of this process. */
export class ProcessOutput implements Output {
    write(text: string): void {
        process.stdout.write(text);
    }

    writeError(text: string): void {
        process.stderr.write(text);
    }
}
