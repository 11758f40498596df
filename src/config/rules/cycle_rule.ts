import { Code } from "../../core/code.ts";
import type { Configuration } from "../configuration.ts";
import type { ConfigRule } from "./config_rule.ts";
import type { Finding } from "./finding.ts";

/** Requires that dependencies form no cycle. Of cycles that share a service, one is reported. */
export class CycleRule implements ConfigRule {
    check(configuration: Configuration): readonly Finding[] {
        const remaining = listCyclicServices(configuration);
        const visited = new Set<string>();
        const findings: Finding[] = [];
        for (const start of remaining.keys()) {
            const walk: string[] = [];
            let name = start;
            while (!visited.has(name)) {
                visited.add(name);
                walk.push(name);
                name = remaining.get(name)![0]!;
            }
            const first = walk.indexOf(name);
            if (first >= 0) {
                findings.push(buildFinding(configuration, walk.slice(first)));
            }
        }
        return findings;
    }
}

/**
 * Services on a cycle or with a path to one, each with its dependencies among these services. Removes
 * services without remaining dependencies until none is left (Kahn's algorithm).
 */
function listCyclicServices(configuration: Configuration): ReadonlyMap<string, readonly string[]> {
    const counts = new Map<string, number>();
    const dependents = new Map<string, string[]>();
    const removable: string[] = [];
    for (const { name, dependsOn } of configuration.services.values()) {
        const known = dependsOn.filter(dependency => configuration.services.has(dependency));
        counts.set(name, known.length);
        for (const dependency of known) {
            const list = dependents.get(dependency) ?? [];
            list.push(name);
            dependents.set(dependency, list);
        }
        if (known.length === 0) {
            removable.push(name);
        }
    }
    for (let name = removable.pop(); name !== undefined; name = removable.pop()) {
        counts.delete(name);
        for (const dependent of dependents.get(name) ?? []) {
            const count = counts.get(dependent)! - 1;
            counts.set(dependent, count);
            if (count === 0) {
                removable.push(dependent);
            }
        }
    }
    const names = [...counts.keys()];
    return new Map(names.map(name => {
        const { dependsOn } = configuration.services.get(name)!;
        return [name, dependsOn.filter(dependency => counts.has(dependency))];
    }));
}

function buildFinding(configuration: Configuration, cycle: readonly string[]): Finding {
    const last = cycle.at(-1)!;
    const index = configuration.services.get(last)!.dependsOn.indexOf(cycle[0]!);
    return {
        code: Code.ConfigDependencyCycle,
        path: ["services", last, "dependsOn", index],
        message: `closes the dependency cycle ${[...cycle, cycle[0]].join(" -> ")}`,
    };
}
