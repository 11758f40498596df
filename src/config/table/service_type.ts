import { ListType } from "../fields/list_type.ts";
import { MapType } from "../fields/map_type.ts";
import { NumberType } from "../fields/number_type.ts";
import { RecordType } from "../fields/record_type.ts";
import type { ServiceFields } from "../service_fields.ts";
import { freeTextType } from "./free_text_type.ts";
import { healthType } from "./health_type.ts";
import { limitsType } from "./limits_type.ts";
import { nameType } from "./name_type.ts";
import { routeType } from "./route_type.ts";

export const serviceType = new RecordType<ServiceFields>({
    description: {
        type: freeTextType,
        defaultValue: "",
        description: "What the service does, for readers of the configuration.",
    },
    dependsOn: {
        type: new ListType(nameType, 100),
        defaultValue: [],
        description:
            "Services that this service calls. A request is refused early when one of them is saturated.",
    },
    members: {
        type: new NumberType({ minimum: 1, maximum: 10_000, integer: true }),
        unit: "upstreams",
        description: "Number of upstreams that the operators intend to run.",
    },
    floor: {
        type: new NumberType({ minimum: 0, maximum: 10_000, integer: true }),
        unit: "upstreams",
        description:
            "Minimum healthy capacity: ejection always leaves this many in rotation. At most `members`.",
    },
    limits: {
        type: limitsType,
        defaultValue: limitsType.buildDefault(),
        description: "Limits of the service.",
    },
    health: {
        type: healthType,
        defaultValue: healthType.buildDefault(),
        description: "When upstreams are ejected and how they return.",
    },
    routes: {
        type: new MapType(nameType, routeType, "route"),
        defaultValue: new Map(),
        description: "Routes by name. A name is unique in the whole configuration.",
    },
});
