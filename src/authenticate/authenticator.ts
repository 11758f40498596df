import type { RoutedRequest } from "../route/routed_request.ts";
import type { AuthenticationVerdict } from "./authentication_verdict.ts";

/** Decides for which organisation a request runs. Holds no socket, timer or clock. */
export interface Authenticator {
    /** `nowMs` is monotonic. */
    decide(request: RoutedRequest, nowMs: number): AuthenticationVerdict;
}
