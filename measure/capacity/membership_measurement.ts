import { SeededRandom } from "../../proof/fakes/seeded_random.ts";
import { VirtualTime } from "../../proof/fakes/virtual_time.ts";
import type { Upstream } from "../../src/core/upstream.ts";
import { JsonInstanceListCodec } from "../../src/edge/control/json_instance_list_codec.ts";
import { PeerSelector } from "../../src/gossip/peer_selector.ts";
import { ReaderElection } from "../../src/gossip/reader_election.ts";
import { SectionHistory } from "../../src/gossip/section_history.ts";
import { MembershipTable } from "../../src/membership/membership_table.ts";
import { OwnerUpstreamIndex } from "../../src/membership/owner_upstream_index.ts";
import { buildTargetUpstreams } from "./build_target_upstreams.ts";
import { measureHeapBytes } from "./measure_heap_bytes.ts";
import { measureProcessorUs } from "./measure_processor_us.ts";
import { NullSinks } from "./null_sinks.ts";
import type { SlopeMeasurement } from "./slope_measurement.ts";

const lookups = 2_000;

/** Memory of one daemon for an instance list of up to 24,000 upstreams, and the cost of one change of it. */
export class MembershipMeasurement implements SlopeMeasurement {
    readonly name = "Membership";
    readonly sizeUnit = "upstreams";
    readonly sizes = [6_000, 12_000, 24_000];
    readonly target = 24_000;
    private readonly codec = new JsonInstanceListCodec();

    async measure(count: number): Promise<Readonly<Record<string, number>>> {
        const upstreams = buildTargetUpstreams(count);
        const sections = this.codec.encode(upstreams);
        const list = await measureHeapBytes(() => this.codec.decode(sections)._unsafeUnwrap());
        const sinks = new NullSinks();
        const table = await measureHeapBytes(() =>
            new MembershipTable({ clock: new VirtualTime(), audit: sinks, logger: sinks, metrics: sinks })
        );
        const membership = table.value;
        const fullUs = await measureProcessorUs(() =>
            membership.merge({ version: 1, upstreams: list.value }, "1", "peer")._unsafeUnwrap()
        );
        const full = await measureHeapBytes(() => {
            const other = new MembershipTable({
                clock: new VirtualTime(),
                audit: sinks,
                logger: sinks,
                metrics: sinks,
            });
            other.merge({ version: 1, upstreams: list.value }, "1", "peer")._unsafeUnwrap();
            return other;
        });
        const changed = list.value.map((upstream, index) =>
            index === 0 ? { ...upstream, leaving: true } : upstream
        );
        const changeUs = await measureProcessorUs(() =>
            membership.merge({ version: 2, upstreams: changed }, "2", "peer")._unsafeUnwrap()
        );
        const index = new OwnerUpstreamIndex(() => membership.getList().list);
        return {
            "list, text in transfer, bytes": sections.join("").length,
            "list as the platform sends it, bytes": JSON.stringify({ version: 1, upstreams }).length,
            "list decoded, bytes on the heap": list.bytes,
            "table without the list, bytes on the heap": full.bytes,
            "index by owner and service, bytes on the heap":
                (await measureHeapBytes(() => (index.list("", ""), index))).bytes,
            "list with shared strings (measure only), bytes on the heap": await this.measureSharedBytes(
                sections,
            ),
            "merge of the first list, processor ms": fullUs / 1_000,
            "merge of one change, processor ms": changeUs / 1_000,
            "upstreams of one service, processor µs": await measureProcessorUs(() => {
                for (let lookup = 0; lookup < lookups; lookup += 1) {
                    membership.list(`service-${lookup % 1_000}`);
                }
            }) / lookups,
            ...await this.measureChangeCost(membership, sections, changed),
        };
    }

    /** Work that one change of the list causes outside the table. */
    private async measureChangeCost(
        membership: MembershipTable,
        sections: readonly string[],
        changed: readonly Upstream[],
    ): Promise<Readonly<Record<string, number>>> {
        const history = new SectionHistory();
        history.update(1, "", sections);
        let encoded: readonly string[] = [];
        const encodeUs = await measureProcessorUs(() => {
            encoded = this.codec.encode(changed);
        });
        const localDaemon = { daemonId: "daemon-0", failureDomain: "region-0-zone-0", membership };
        const election = new ReaderElection({ ...localDaemon, clock: new VirtualTime() });
        const selector = new PeerSelector({ ...localDaemon, random: new SeededRandom(1), seeds: [] });
        return {
            "encode after one change, processor ms": encodeUs / 1_000,
            "section digests after one change, processor ms":
                await measureProcessorUs(() => history.update(2, "", encoded)) / 1_000,
            "decode after one change, processor ms":
                await measureProcessorUs(() => this.codec.decode(encoded)) / 1_000,
            "election after one change, processor ms": await measureProcessorUs(() => election.isReader()) /
                1_000,
            "peers after one change, processor ms": await measureProcessorUs(() => selector.select(2)) /
                1_000,
        };
    }

    /** Memory of the same list when equal names share one string. */
    private async measureSharedBytes(sections: readonly string[]): Promise<number> {
        const { bytes } = await measureHeapBytes(() => {
            const names = new Map<string, string>();
            const getSharedString = (text: string): string => {
                const known = names.get(text);
                if (known === undefined) {
                    names.set(text, text);
                }
                return known ?? text;
            };
            return this.codec.decode(sections)._unsafeUnwrap().map(upstream => ({
                ...upstream,
                service: getSharedString(upstream.service),
                failureDomain: getSharedString(upstream.failureDomain),
                region: getSharedString(upstream.region),
            }));
        });
        return bytes;
    }
}
