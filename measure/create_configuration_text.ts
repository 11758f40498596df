import { SeededRandom } from "../proof/fakes/seeded_random.ts";

interface ConfigurationSize {
    readonly services: number;
    readonly routes: number;
    readonly seed: number;
}

/** Builds the text of a configuration as operators write it: block style, comments, some fields left out. */
export function createConfigurationText(options: ConfigurationSize): string {
    const random = new SeededRandom(options.seed);
    const getRandomInteger = (count: number): number => Math.floor(random.getFloat() * count);
    const lines = ["# Generated for measurements.", "team: measurement", "services:"];
    for (let service = 0; service < options.services; service += 1) {
        const members = 3 + getRandomInteger(40);
        lines.push(
            `  service-${service}:`,
            `    description: Service ${service} of the generated configuration.`,
            // Dependencies point to earlier services, so that they form no cycle.
            `    dependsOn: [${service === 0 ? "" : `service-${getRandomInteger(service)}`}]`,
            `    members: ${members}`,
            `    floor: ${Math.ceil(members * 0.7)}`,
            "    limits:",
            `      queueLength: ${32 + getRandomInteger(64)}`,
            `      targetWaitMs: ${50 + getRandomInteger(200)}`,
            "    routes:",
        );
        const first = Math.floor(service * options.routes / options.services);
        const end = Math.floor((service + 1) * options.routes / options.services);
        for (let route = first; route < end; route += 1) {
            const isRead = random.getFloat() < 0.7;
            lines.push(
                `      # Route ${route}.`,
                `      route-${route}:`,
                `        method: ${isRead ? "GET" : "POST"}`,
                `        path: /service-${service}/items/{item}/route-${route}`,
                `        class: ${random.getFloat() < 0.8 ? "short" : "long"}`,
                `        idempotent: ${isRead}`,
                `        deadlineMs: ${1_000 + getRandomInteger(9_000)}`,
                `        serviceMs: ${5 + getRandomInteger(200)}`,
                "        expect: { statuses: [200, 404], contentType: application/json }",
                "        shedStatuses: [503]",
            );
        }
    }
    return `${lines.join("\n")}\n`;
}
