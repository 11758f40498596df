import { parseConfiguration } from "../../src/config/parse_configuration.ts";
import { SectionHistory } from "../../src/gossip/section_history.ts";
import { ServiceSectionSplitter } from "../../src/gossip/service_section_splitter.ts";
import { computeDigest } from "../../src/published/compute_digest.ts";
import { PatternRouteTable } from "../../src/route/pattern_route_table.ts";
import { createConfigurationText } from "../create_configuration_text.ts";
import { measureHeapBytes } from "./measure_heap_bytes.ts";
import { measureProcessorUs } from "./measure_processor_us.ts";
import type { SlopeMeasurement } from "./slope_measurement.ts";

const changes = 8;
const lookupRounds = 20;

/** Configuration with five routes for each service: text, parse, change, sections, route lookup. */
export class ConfigurationMeasurement implements SlopeMeasurement {
    readonly name = "Configuration";
    readonly sizeUnit = "services";
    readonly sizes = [250, 500, 1_000];
    readonly target = 1_000;
    private readonly splitter = new ServiceSectionSplitter();

    async measure(services: number): Promise<Readonly<Record<string, number>>> {
        const text = createConfigurationText({ services, routes: 5 * services, seed: 1 });
        const texts = Array.from(
            { length: changes },
            (_, index) => text.replace("queueLength: ", `queueLength: ${index + 1}`),
        );
        const heap = await measureHeapBytes(() => {
            const parsed = parseConfiguration(text)._unsafeUnwrap();
            return { parsed, table: new PatternRouteTable(parsed) };
        });
        const { parsed, table } = heap.value;
        const paths = [...parsed.services.values()].flatMap(service =>
            service.routes.map(route => ({
                method: route.method,
                path: route.path.replace("{item}", "42"),
            }))
        );
        const plainHeap = await measureHeapBytes(() => parseConfiguration(text)._unsafeUnwrap());
        const lookupUs = await measureProcessorUs(() => {
            for (let round = 0; round < lookupRounds; round += 1) {
                paths.forEach(({ method, path }) => table.find({ method, host: "", path })._unsafeUnwrap());
            }
        });
        return {
            "text, bytes": text.length,
            "parse, processor ms": await measureProcessorUs(() => parseConfiguration(text)) / 1_000,
            "route table, processor ms": await measureProcessorUs(() => new PatternRouteTable(parsed)) /
                1_000,
            "route lookup, processor µs": lookupUs / paths.length / lookupRounds,
            "digest of the text, processor ms": await measureProcessorUs(() => computeDigest(text)) / 1_000,
            "split into sections and their digests, processor ms": await this.measureSplitMs(text, texts),
            "parsed configuration (the daemon's parser), bytes": plainHeap.bytes,
            "parsed configuration with route table, bytes": heap.bytes,
            "sections and 64 remembered versions of their digests, bytes": await this.measureHistoryBytes(
                text,
            ),
        };
    }

    private async measureSplitMs(text: string, texts: readonly string[]): Promise<number> {
        const history = new SectionHistory();
        history.update(1, "", this.splitter.split(text));
        const usedUs = await measureProcessorUs(() =>
            texts.forEach((changed, index) => history.update(index + 2, "", this.splitter.split(changed)))
        );
        return usedUs / 1_000 / changes;
    }

    private async measureHistoryBytes(text: string): Promise<number> {
        const { bytes } = await measureHeapBytes(() => {
            const history = new SectionHistory();
            const contents = this.splitter.split(text);
            for (let version = 1; version <= 64; version += 1) {
                history.update(version, "", contents);
            }
            return history;
        });
        return bytes;
    }
}
