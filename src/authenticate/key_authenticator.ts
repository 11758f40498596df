/**
 * Finds the organisation for which a request runs: by its key, or by the run that makes it as a call.
 *
 * @example
 * ```ts
 * const authenticator = new KeyAuthenticator({ config, runs, proof, getBounds });
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
import type { ConfigProofReader } from "./config_proof_reader.ts";
import { OrganisationIndex } from "./organisation_index.ts";
import type { RevocationBounds } from "./revocation_bounds.ts";
import type { RunReader } from "./run_reader.ts";

interface Options {
    readonly config: ActiveConfigReader;
    readonly runs: RunReader;
    readonly proof: ConfigProofReader;
    readonly getBounds: () => RevocationBounds;
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
            return { kind: this.decideUnknown(nowMs) };
        }
        const name = this.options.runs.findOrganisation(parentRequestId);
        // The run may have ended, or have been started through an earlier process of this daemon.
        return name === undefined
            ? { kind: AuthenticationKind.Unproved }
            : { kind: AuthenticationKind.Call, organisation: organisations.get(name) };
    }

    private decideKey(key: string, configuration: Configuration, nowMs: number): AuthenticationVerdict {
        const { isStrict, maxAgeMs } = this.options.getBounds();
        if (isStrict && nowMs - this.options.proof.getProvedMs() > maxAgeMs) {
            return { kind: AuthenticationKind.Unproved };
        }
        const organisation = this.getIndex(configuration).find(key);
        return organisation === undefined
            ? { kind: this.decideUnknown(nowMs) }
            : { kind: AuthenticationKind.Accepted, organisation };
    }

    /** A key that this daemon does not know may have been added since its configuration was proved the newest. */
    private decideUnknown(nowMs: number): AuthenticationKind {
        const isFresh = nowMs - this.options.proof.getProvedMs() <= this.options.getBounds().applyMs;
        return isFresh ? AuthenticationKind.UnknownKey : AuthenticationKind.Unproved;
    }

    private getIndex(configuration: Configuration): OrganisationIndex {
        if (this.indexed !== configuration) {
            this.indexed = configuration;
            this.index = new OrganisationIndex(configuration.organisations ?? new Map());
        }
        return this.index;
    }
}
