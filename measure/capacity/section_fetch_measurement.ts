import { create, toBinary } from "@bufbuild/protobuf";
import {
    FetchSectionsRequestSchema,
    FetchSectionsResponseSchema,
} from "../../src/gen/zinniaglade/v1/control_pb.ts";
import { buildPieces } from "../../src/gossip/build_pieces.ts";
import { DocumentName } from "../../src/gossip/document_name.ts";
import { mergePieces } from "../../src/gossip/merge_pieces.ts";
import type { Section } from "../../src/gossip/section.ts";
import { SectionHistory } from "../../src/gossip/section_history.ts";
import { ServiceSectionSplitter } from "../../src/gossip/service_section_splitter.ts";
import { computeDigest } from "../../src/published/compute_digest.ts";
import { createConfigurationText } from "../create_configuration_text.ts";
import { measureProcessorUs } from "./measure_processor_us.ts";
import type { SlopeMeasurement } from "./slope_measurement.ts";

/** Transfer of one changed service, and of all services, by the number of services in the configuration. */
export class SectionFetchMeasurement implements SlopeMeasurement {
    readonly name = "Section fetch";
    readonly sizeUnit = "services";
    readonly sizes = [250, 500, 1_000];
    readonly target = 1_000;

    async measure(services: number): Promise<Readonly<Record<string, number>>> {
        const text = createConfigurationText({ services, routes: 5 * services, seed: 1 });
        const position = text.indexOf("queueLength: ", text.length / 2);
        const changed = `${text.slice(0, position)}queueLength: 1${text.slice(position + 13)}`;
        const splitter = new ServiceSectionSplitter();
        const history = new SectionHistory();
        history.update(1, "", splitter.split(text));
        const base = history.getSections();
        history.update(2, "", splitter.split(changed));
        const digests = base.map(section => section.digest);
        const pieces = buildPieces(digests, history.getSections());
        const buildUs = await measureProcessorUs(() => buildPieces(digests, history.getSections()));
        const mergeUs = await measureProcessorUs(() => computeDigest(mergePieces(base, pieces)!.join("")));
        return {
            "request with a known base, bytes": this.computeRequestBytes([]),
            "request with all section digests, bytes": this.computeRequestBytes(digests),
            "response with one changed section, bytes": this.computeResponseBytes(
                digests,
                history.getSections(),
            ),
            "response with all sections, bytes": this.computeResponseBytes([], history.getSections()),
            "compare with the base, processor ms": buildUs / 1_000,
            "join and verify, processor ms": mergeUs / 1_000,
        };
    }

    private computeRequestBytes(knownDigests: string[]): number {
        const message = create(FetchSectionsRequestSchema, {
            document: DocumentName.Configuration,
            baseVersion: 1_234_567n,
            baseDigest: "0".repeat(64),
            knownDigests,
        });
        return toBinary(FetchSectionsRequestSchema, message).length;
    }

    private computeResponseBytes(base: readonly string[], sections: readonly Section[]): number {
        const head = { name: DocumentName.Configuration, version: 1_234_567n, digest: "0".repeat(64) };
        const pieces = [...buildPieces(base, sections)];
        const message = create(FetchSectionsResponseSchema, { head, pieces });
        return toBinary(FetchSectionsResponseSchema, message).length;
    }
}
