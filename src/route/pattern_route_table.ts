/**
 * Finds the route of a request in a tree of path segments.
 *
 * @example
 * ```ts
 * const table = new PatternRouteTable(configuration);
 * const match = table.find({ method: "GET", host: "", path: "/bills/42" });
 * ```
 *
 * @module
 */
import { err, ok, type Result } from "neverthrow";
import type { Configuration } from "../config/configuration.ts";
import { Code } from "../core/code.ts";
import type { RouteFinder } from "./route_finder.ts";
import type { RouteMatch } from "./route_match.ts";
import type { RouteQuery } from "./route_query.ts";

interface SegmentNode {
    // Most nodes have one or two of these, and empty maps would double the time to build the tree.
    literals: Map<string, SegmentNode> | undefined;
    parameter: SegmentNode | undefined;
    /** Routes that end at this segment, by method. */
    routes: Map<string, RouteMatch> | undefined;
    /** Routes whose trailing `*` follows this segment, by method. */
    wildcardRoutes: Map<string, RouteMatch> | undefined;
}

/**
 * The routes of one configuration. A literal segment takes precedence over `{name}`, which takes precedence
 * over `*`, from the first segment to the last.
 */
export class PatternRouteTable implements RouteFinder {
    private readonly root = createNode();

    constructor(configuration: Configuration) {
        for (const service of configuration.services.values()) {
            for (const route of service.routes) {
                this.add({ service, route });
            }
        }
    }

    /** The error is `NoRoute`, or `MethodNotAllowed` when only the method differs. */
    find({ method, path }: RouteQuery): Result<RouteMatch, Code> {
        const segments = path.split("/");
        // Upstreams may resolve dot segments, so that another path than the matched one would be executed.
        if (segments[0] !== "" || segments.some(isDotSegment)) {
            return err(Code.NoRoute);
        }
        const search = new RouteSearch(method, segments);
        const match = search.find(this.root, 1);
        if (match !== undefined) {
            return ok(match);
        }
        return err(search.foundOtherMethod ? Code.MethodNotAllowed : Code.NoRoute);
    }

    private add(match: RouteMatch): void {
        const segments = match.route.path.split("/").slice(1);
        const hasWildcard = segments.at(-1) === "*";
        let node = this.root;
        for (const segment of hasWildcard ? segments.slice(0, -1) : segments) {
            node = addChild(node, segment);
        }
        const key = hasWildcard ? "wildcardRoutes" : "routes";
        node[key] ??= new Map();
        node[key].set(match.route.method, match);
    }
}

class RouteSearch {
    foundOtherMethod = false;

    constructor(private readonly method: string, private readonly segments: readonly string[]) {}

    /** Visits each node of the tree at most once, because each node has one parent. */
    find(node: SegmentNode, index: number): RouteMatch | undefined {
        const segment = this.segments[index];
        if (segment === undefined) {
            return this.take(node.routes);
        }
        const literal = node.literals?.get(segment);
        const match = literal && this.find(literal, index + 1);
        if (match !== undefined) {
            return match;
        }
        const parameter = segment === "" ? undefined : node.parameter;
        return (parameter && this.find(parameter, index + 1)) ?? this.take(node.wildcardRoutes);
    }

    private take(routes: ReadonlyMap<string, RouteMatch> | undefined): RouteMatch | undefined {
        const match = routes?.get(this.method);
        this.foundOtherMethod ||= match === undefined && routes !== undefined;
        return match;
    }
}

function createNode(): SegmentNode {
    return { literals: undefined, parameter: undefined, routes: undefined, wildcardRoutes: undefined };
}

function addChild(node: SegmentNode, segment: string): SegmentNode {
    if (segment.startsWith("{")) {
        node.parameter ??= createNode();
        return node.parameter;
    }
    node.literals ??= new Map();
    const child = node.literals.get(segment) ?? createNode();
    node.literals.set(segment, child);
    return child;
}

function isDotSegment(segment: string): boolean {
    return /^(?:\.|%2e){1,2}$/i.test(segment);
}
