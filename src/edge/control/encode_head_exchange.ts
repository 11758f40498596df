import type { MessageInitShape } from "@bufbuild/protobuf";
import type { HeadExchangeSchema } from "../../gen/zinniaglade/v1/control_pb.ts";
import type { HeadExchange } from "../../gossip/head_exchange.ts";

/** Encodes a head exchange as a message. */
export function encodeHeadExchange(exchange: HeadExchange): MessageInitShape<typeof HeadExchangeSchema> {
    const { rejected } = exchange;
    return {
        daemonId: exchange.daemonId,
        incarnation: exchange.incarnation,
        heads: exchange.heads.map(head => ({ ...head, version: BigInt(head.version) })),
        notices: exchange.notices.map(notice => ({ ...notice })),
        healthReports: (exchange.healthReports ?? []).map(report => ({ ...report })),
        platformAgeMs: exchange.platformAgeMs,
        rejected: rejected === undefined ? undefined : {
            ...rejected,
            version: BigInt(rejected.version),
            endsAtVersion: BigInt(rejected.endsAtVersion),
        },
    };
}
