/**
 * Finds the organisation for which a request runs: by its key, or by the run that makes it as a call.
 *
 * @example
 * ```ts
 * const authenticator = new KeyAuthenticator({ config, runs, guard });
 * const { kind, organisation } = authenticator.decide(request, nowMs);
 * ```
 *
 * @module
 */
import type { ActiveConfigReader } from "../config/active_config_reader.ts";
import type { Configuration } from "../config/configuration.ts";
import type { RoutedRequest } from "../route/routed_request.ts";
import { AuthenticationKind } from "./authentication_kind.ts";
import type { AuthenticationVerdict } from "./authentication_verdict.ts";
import type { Authenticator } from "./authenticator.ts";
import { OrganisationIndex } from "./organisation_index.ts";
import type { RevocationGuard } from "./revocation_guard.ts";
import type { RunReader } from "./run_reader.ts";

interface Options {
    readonly config: ActiveConfigReader;
    readonly runs: RunReader;
    readonly guard: RevocationGuard;
}

/** Decides by the configuration in force; builds the index of its keys once. */
export class KeyAuthenticator implements Authenticator {
    private indexed: Configuration | undefined;
    private index = new OrganisationIndex(new Map());

    constructor(private readonly options: Options) {}

    decide(request: RoutedRequest, nowMs: number): AuthenticationVerdict {
        const configuration = this.options.config.getActive()?.configuration;
        const organisations = configuration?.organisations;
        if (configuration === undefined || organisations === undefined || request.route.public === true) {
            return { kind: AuthenticationKind.Public };
        }
        const { credential, parentRequestId } = request;
        if (credential !== undefined) {
            return this.decideKey(credential, configuration, nowMs);
        }
        if (parentRequestId === undefined) {
            return { kind: this.options.guard.decide(false, nowMs) };
        }
        const name = this.options.runs.findOrganisation(parentRequestId);
        // The run may have ended, or have been started through an earlier process of this daemon.
        return name === undefined
            ? { kind: AuthenticationKind.Unproved }
            : { kind: AuthenticationKind.Call, organisation: organisations.get(name) };
    }

    private decideKey(key: string, configuration: Configuration, nowMs: number): AuthenticationVerdict {
        const organisation = this.getIndex(configuration).find(key);
        const kind = this.options.guard.decide(organisation !== undefined, nowMs);
        return kind === AuthenticationKind.Accepted ? { kind, organisation } : { kind };
    }

    private getIndex(configuration: Configuration): OrganisationIndex {
        if (this.indexed !== configuration) {
            this.indexed = configuration;
            this.index = new OrganisationIndex(configuration.organisations ?? new Map());
        }
        return this.index;
    }
}
