import { BoundRule } from "./bound_rule.ts";
import type { ConfigRule } from "./config_rule.ts";
import { CycleRule } from "./cycle_rule.ts";
import { DependencyRule } from "./dependency_rule.ts";
import { EachServiceRule } from "./each_service_rule.ts";
import { RouteRule } from "./route_rule.ts";
import { ServiceCountRule } from "./service_count_rule.ts";
import { SplitRule } from "./split_rule.ts";

/** The rules that each configuration must meet. */
export const configRules: readonly ConfigRule[] = [
    new ServiceCountRule(),
    new DependencyRule(),
    new CycleRule(),
    new EachServiceRule(new BoundRule()),
    new RouteRule(),
    new SplitRule(),
];
