import type { ServiceSummary } from "./service_summary.ts";

/** Formats the summary as text, one paragraph for each service and kind of request. */
export function formatSummary(services: readonly ServiceSummary[]): string {
    return services.map(formatService).join("\n");
}

function formatService(summary: ServiceSummary): string {
    const { attempts, causes, idempotent, refusedAttempts, requests, served, service, stateAgeP90Ms } =
        summary;
    const name = service === "" ? "no service" : service;
    const attemptsPerServed = served === 0 ? "-" : (attempts / served).toFixed(2);
    return [
        `${name}, ${idempotent ? "idempotent" : "non-idempotent"}: ${requests} requests, ${served} served`,
        ...formatCounts(causes),
        `  attempts for each request served ${attemptsPerServed}, state age at nine of ten ${stateAgeP90Ms} ms`,
        ...formatCounts(refusedAttempts).map(line => `${line} refused attempts`),
        "",
    ].join("\n");
}

function formatCounts(counts: Readonly<Record<string, number>>): readonly string[] {
    return Object.entries(counts).sort(([, left], [, right]) => right - left)
        .map(([key, count]) => `${`${count}`.padStart(7)}  ${key}`);
}
