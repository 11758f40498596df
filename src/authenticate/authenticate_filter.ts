/**
 * Filter of the entry pipeline between route and admit: finds the organisation of a request and removes its key.
 *
 * @example
 * ```ts
 * const entry = Pipeline.start(routeFilter).pipe(new AuthenticateFilter({ authenticator, clock, metrics }));
 * ```
 *
 * @module
 */
import { err, ok, type Result } from "neverthrow";
import type { Organisation } from "../config/organisation.ts";
import type { Clock } from "../core/clock.ts";
import { Code } from "../core/code.ts";
import { createFailure } from "../core/create_failure.ts";
import type { Failure } from "../core/failure.ts";
import type { Filter } from "../core/filter.ts";
import type { Metrics } from "../core/metrics.ts";
import type { RoutedRequest } from "../route/routed_request.ts";
import { AuthenticationKind } from "./authentication_kind.ts";
import type { Authenticator } from "./authenticator.ts";
import { computeRank } from "./compute_rank.ts";

interface Options {
    readonly authenticator: Authenticator;
    readonly clock: Clock;
    readonly metrics: Metrics;
    /** Milliseconds after which a caller whose key could not be proved valid may return. */
    readonly getRetryAfterMs: () => number;
}

/** Fails with UnknownCredential or CredentialUnproved, both before anything runs. */
export class AuthenticateFilter implements Filter<RoutedRequest, RoutedRequest> {
    constructor(private readonly options: Options) {}

    apply({ credential, ...request }: RoutedRequest): Result<RoutedRequest, Failure> {
        const { authenticator, clock, metrics } = this.options;
        const { kind, organisation } = authenticator.decide(
            { ...request, credential },
            clock.getMonotonicMs(),
        );
        switch (kind) {
            case AuthenticationKind.Public:
                return ok(request);
            case AuthenticationKind.Accepted:
                return ok({ ...applyOrganisation(request, organisation), isCall: false });
            case AuthenticationKind.Call:
                return ok({ ...applyOrganisation(request, organisation), isCall: true });
            case AuthenticationKind.UnknownKey:
                metrics.addCount("authentication.refused", { kind });
                return err(createFailure(Code.UnknownCredential));
            case AuthenticationKind.Unproved:
                metrics.addCount("authentication.refused", { kind });
                return err(
                    createFailure(Code.CredentialUnproved, { retryAfterMs: this.options.getRetryAfterMs() }),
                );
        }
    }
}

/** Sets the organisation and the rank of its work, whatever organisation the caller named. */
function applyOrganisation(request: RoutedRequest, organisation: Organisation | undefined): RoutedRequest {
    if (organisation === undefined) {
        return { ...request, organisation: "" };
    }
    const { route } = request;
    const priority = computeRank(organisation.priority, route.priority);
    return {
        ...request,
        organisation: organisation.name,
        organisationConfig: organisation,
        route: { ...route, priority },
    };
}
