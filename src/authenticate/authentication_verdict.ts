import type { Organisation } from "../config/organisation.ts";
import type { AuthenticationKind } from "./authentication_kind.ts";

/** Decision about the key of one request. */
export interface AuthenticationVerdict {
    readonly kind: AuthenticationKind;
    /** The organisation for which the request runs; undefined when it runs for none. */
    readonly organisation?: Organisation | undefined;
}
