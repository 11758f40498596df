import fc from "fast-check";
import type { Configuration } from "../src/config/configuration.ts";
import type { HealthConfig } from "../src/config/health_config.ts";
import type { LimitsConfig } from "../src/config/limits_config.ts";
import type { RouteConfig } from "../src/config/route_config.ts";
import type { ServiceConfig } from "../src/config/service_config.ts";
import { WorkClass } from "../src/core/work_class.ts";

/**
 * Builds records with the prototype of plain objects, as the parser does; `deepEqual` distinguishes null
 * prototypes.
 */
function buildRecord<Fields extends object>(fields: { [Key in keyof Fields]: fc.Arbitrary<Fields[Key]>; }) {
    return fc.record<Fields>(fields, { noNullPrototype: true });
}

const sentence = fc.string({ unit: "grapheme", maxLength: 30 }).filter(text =>
    !/[\u0000-\u001f\u007f-\u009f]/.test(text)
);
const name = fc.stringMatching(/^[A-Za-z][A-Za-z0-9_-]{0,8}$/);
const percent = fc.integer({ min: 0, max: 100 });
const statuses = fc.uniqueArray(fc.integer({ min: 400, max: 599 }), { maxLength: 4 });

const limits: fc.Arbitrary<LimitsConfig> = buildRecord({
    queueLength: fc.integer({ min: 1, max: 10_000 }),
    reserveShort: fc.integer({ min: 0, max: 1_000 }),
    targetWaitMs: fc.integer({ min: 1, max: 60_000 }),
    organisationPercent: fc.integer({ min: 1, max: 100 }),
    retryPercent: percent,
    entryConcurrency: fc.integer({ min: 1, max: 100_000 }),
});

const health: fc.Arbitrary<HealthConfig> = buildRecord({
    falseAlarm: fc.double({ min: 1e-15, max: 0.1, noNaN: true }),
    slowFactor: fc.double({ min: 1.1, max: 100, noNaN: true }),
    holdMinMs: fc.integer({ min: 100, max: 2_000 }),
    holdMaxMs: fc.integer({ min: 2_000, max: 600_000 }),
    rampMs: fc.integer({ min: 0, max: 600_000 }),
});

const routeFields = buildRecord({
    method: fc.constantFrom("GET", "POST", "DELETE"),
    // The service and the index of the route are prefixed to each path below, so that no two routes conflict.
    path: fc.constantFrom("", "/", "/*", "/{a}", "/{a}/b", "/a-b_c.~!$&'()+,;=:@%20", "/null"),
    workClass: fc.constantFrom(...Object.values(WorkClass)),
    idempotent: fc.boolean(),
    deadlineMs: fc.integer({ min: 1_000, max: 600_000 }),
    serviceMs: fc.integer({ min: 1, max: 1_000 }),
    maxRequestBytes: fc.integer({ min: 0, max: 16_777_216 }),
    maxAnswerBytes: fc.integer({ min: 0, max: 16_777_216 }),
    expect: buildRecord({ statuses, contentType: fc.constantFrom("", "application/json", "text/plain") }),
    shedStatuses: statuses,
    priority: fc.integer({ min: 0, max: 9 }),
    maxAttempts: fc.integer({ min: 1, max: 10 }),
    targetMs: fc.integer({ min: 0, max: 600_000 }),
    split: fc.constant(new Map<string, number>()),
});

const serviceFields = buildRecord({
    description: sentence,
    members: fc.integer({ min: 1, max: 10_000 }),
    floorShare: fc.double({ min: 0, max: 1, noNaN: true }),
    dependencies: fc.uniqueArray(fc.nat(), { maxLength: 3 }),
    limits,
    health,
    routes: fc.uniqueArray(fc.tuple(name, routeFields), { selector: ([key]) => key, maxLength: 4 }),
});

/** Valid configurations of up to five services. */
export const arbitraryConfiguration: fc.Arbitrary<Configuration> = buildRecord({
    team: sentence.filter(text => /\S/.test(text)),
    list: fc.uniqueArray(fc.tuple(name, serviceFields), {
        selector: ([key]) => key,
        minLength: 1,
        maxLength: 5,
    }),
}).map(({ team, list }) => {
    const services = list.map(
        ([service, { floorShare, dependencies, ...fields }], position): ServiceConfig => {
            // Dependencies refer only to earlier services, so that they form no cycle.
            const indexes = position === 0 ? [] : dependencies.map(dependency => dependency % position);
            const routes = fields.routes.map(([key, route], index): RouteConfig => ({
                ...route,
                name: `${key}_${service}`,
                service,
                path: `/${service}/${index}${route.path}`,
            }));
            return {
                ...fields,
                name: service,
                floor: Math.floor(floorShare * fields.members),
                dependsOn: [...new Set(indexes)].map(index => list[index]![0]),
                routes,
            };
        },
    );
    return { team, services: new Map(services.map(service => [service.name, service])) };
});
