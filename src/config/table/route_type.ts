import { WorkClass } from "../../core/work_class.ts";
import { BooleanType } from "../fields/boolean_type.ts";
import { ChoiceType } from "../fields/choice_type.ts";
import { ListType } from "../fields/list_type.ts";
import { MapType } from "../fields/map_type.ts";
import { NumberType } from "../fields/number_type.ts";
import { RecordType } from "../fields/record_type.ts";
import { TextType } from "../fields/text_type.ts";
import type { RouteFields } from "../route_fields.ts";
import { expectType } from "./expect_type.ts";
import { nameType } from "./name_type.ts";

const durationType = new NumberType({ minimum: 1, maximum: 600_000, integer: true });
// Bodies are buffered in the 128 MB of one daemon, which bounds the size that a route may allow.
const sizeType = new NumberType({ minimum: 0, maximum: 16_777_216, integer: true });

export const routeType = new RecordType<RouteFields>({
    method: {
        type: new ChoiceType(["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"]),
        description: "HTTP method.",
    },
    path: {
        type: new TextType({
            meaning: "a path whose segments are literal text or `{name}`, the last one possibly `*`,",
            // Dot segments are excluded because upstreams may resolve them to another path, and
            // `/.zinniaglade` because the daemons answer requests below it.
            pattern: new RegExp(
                String.raw`^(?=\/)(?!\/\.zinniaglade(?:\/|$))(?!.*\/\.\.?(?:\/|$))`
                    + String
                        .raw`(?:\/(?:\{[A-Za-z][A-Za-z0-9_]*\}|[A-Za-z0-9._~!$&'()+,;=:@%-]+))*(?:\/\*?)?$`,
            ),
            maxLength: 500,
        }),
        description: "Path pattern. `{name}` matches one segment, a trailing `*` one or more segments. "
            + "Literal text takes precedence over `{name}`, and `{name}` over `*`.",
    },
    workClass: {
        name: "class",
        type: new ChoiceType([WorkClass.Short, WorkClass.Long]),
        description: "Class of the work. Long work never uses the slots of `reserveShort`.",
    },
    idempotent: {
        type: new BooleanType(),
        description:
            "Whether executing a request twice has the same effect as once. Other work is never retried.",
    },
    deadlineMs: {
        type: durationType,
        unit: "ms",
        description:
            "Time from the receipt of a request to its deadline. A shorter limit of the caller applies.",
    },
    serviceMs: {
        type: durationType,
        unit: "ms",
        defaultValue: 10,
        description: "Service time to assume before any is measured. At most `deadlineMs`.",
    },
    maxRequestBytes: {
        type: sizeType,
        unit: "bytes",
        defaultValue: 65_536,
        description: "Largest body of a request.",
    },
    maxAnswerBytes: {
        type: sizeType,
        unit: "bytes",
        defaultValue: 1_048_576,
        description: "Largest body of a response.",
    },
    expect: {
        type: expectType,
        defaultValue: expectType.buildDefault(),
        description: "What a correct response looks like.",
    },
    shedStatuses: {
        type: new ListType(new NumberType({ minimum: 400, maximum: 599, integer: true }), 50),
        unit: "HTTP status",
        // No status is assumed: a wrong entry would tell callers that executed work was not executed.
        defaultValue: [],
        description:
            "Statuses by which the upstream declares that it did not execute the request and will not. "
            + "Callers are told so, and the request is sent again, also one that is not idempotent: list a "
            + "status only if no upstream of the service ever answers with it after work has begun.",
    },
    priority: {
        type: new NumberType({ minimum: 0, maximum: 9, integer: true }),
        defaultValue: 0,
        description:
            "Rank of the work, 0 is the most urgent. Less urgent work waits behind more urgent work.",
    },
    maxAttempts: {
        type: new NumberType({ minimum: 1, maximum: 10, integer: true }),
        unit: "upstreams",
        defaultValue: 3,
        description: "Upstreams to which one request may be sent. Refusals before dispatch do not count.",
    },
    targetMs: {
        type: new NumberType({ minimum: 0, maximum: 600_000, integer: true }),
        unit: "ms",
        defaultValue: 0,
        description: "Time in which an answer should arrive. 0 when only the deadline counts.",
    },
    split: {
        type: new MapType(
            nameType,
            new NumberType({ minimum: 0, maximum: 1_000_000, integer: true }),
            "service",
        ),
        unit: "weight",
        defaultValue: new Map(),
        description: "Services that share the requests of the route, each with its weight. "
            + "All requests go to the service of the route when it is empty.",
    },
});
