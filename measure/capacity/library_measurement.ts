import { buildSync } from "esbuild";
import { spawnSync } from "node:child_process";
import { mkdtempSync, readFileSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { pathToFileURL } from "node:url";

interface Program {
    readonly name: string;
    readonly flags: readonly string[];
    readonly script: string;
}

const runs = 5;
const bytesPerMb = 2 ** 20;
const report = "globalThis.gc(); const { rss, heapUsed } = process.memoryUsage();"
    + " console.log(JSON.stringify([rss, heapUsed]));";

/** Resident memory of short processes that load one library each, and of the bundled daemon before it starts. */
export class LibraryMeasurement {
    readonly name = "Libraries";

    /** Lines of a table in Markdown. */
    measure(): readonly string[] {
        const folder = mkdtempSync(join(tmpdir(), "zinniaglade-"));
        try {
            const programs = this.listPrograms(folder);
            const values = programs.map(() => [] as (readonly [number, number])[]);
            for (let run = 0; run < runs; run += 1) {
                programs.forEach((program, index) => values[index]!.push(this.runProgram(program)));
            }
            const rows = programs.map(({ name }, index) => {
                const resident = values[index]!.map(([rss]) => rss).toSorted((left, right) => left - right);
                const heap = values[index]!.map(([, used]) => used).toSorted((left, right) => left - right);
                const [median, least, greatest] = [resident[runs >> 1]!, resident[0]!, resident.at(-1)!].map(
                    bytes => (bytes / bytesPerMb).toFixed(1),
                );
                const heapMb = (heap[runs >> 1]! / bytesPerMb).toFixed(1);
                return `| ${name} | ${median} [${least}, ${greatest}] | ${heapMb} |`;
            });
            return [
                `### ${this.name}`,
                "",
                "| process | resident MB, median [least, greatest] | heap used MB, median |",
                "| --- | --- | --- |",
                ...rows,
                "",
            ];
        }
        finally {
            rmSync(folder, { recursive: true });
        }
    }

    private listPrograms(folder: string): readonly Program[] {
        const { dependencies } = JSON.parse(readFileSync("package.json", "utf8")) as {
            dependencies: Record<string, string>;
        };
        const names = Object.keys(dependencies);
        const loadBundle = this.formatImport(this.buildBundle(folder, false));
        const loadMinified = this.formatImport(this.buildBundle(folder, true));
        const flagSets = [[], ["--optimize-for-size"], ["--max-semi-space-size=1"], ["--single-threaded"], [
            "--optimize-for-size",
            "--max-semi-space-size=1",
            "--single-threaded",
        ]];
        return [
            { name: "Node.js alone", flags: [], script: "" },
            ...names.map(name => ({ name, flags: [], script: `await import("${name}");` })),
            {
                name: "all libraries",
                flags: [],
                script: names.map(name => `await import("${name}");`).join(" "),
            },
            ...names.map(left => ({
                name: `all libraries without ${left}`,
                flags: [],
                script: names.filter(name => name !== left).map(name => `await import("${name}");`).join(" "),
            })),
            { name: "bundled daemon, minified, not started", flags: [], script: loadMinified },
            ...flagSets.map(flags => ({
                name: ["bundled daemon, not started", ...flags].join(" "),
                flags,
                script: loadBundle,
            })),
        ];
    }

    private formatImport(file: string): string {
        return `await import(${JSON.stringify(pathToFileURL(file).href)});`;
    }

    private buildBundle(folder: string, minify: boolean): string {
        const outfile = join(folder, minify ? "minified.cjs" : "daemon.cjs");
        buildSync({
            entryPoints: ["src/build_daemon.ts"],
            bundle: true,
            minify,
            platform: "node",
            target: "node20",
            format: "cjs",
            external: ["unix-dgram"],
            logLevel: "error",
            outfile,
        });
        return outfile;
    }

    private runProgram({ flags, script }: Program): readonly [number, number] {
        const args = [
            "--expose-gc",
            ...flags,
            "--input-type=module",
            "--eval",
            `${script} ${report} process.exit();`,
        ];
        const { status, stdout, stderr } = spawnSync(process.execPath, args, { encoding: "utf8" });
        if (status !== 0) {
            throw new Error(stderr);
        }
        return JSON.parse(stdout) as [number, number];
    }
}
