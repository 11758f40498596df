/**
 * Service `Control` for other daemons.
 *
 * @module
 */
import type { ConnectRouter } from "@connectrpc/connect";
import { Control } from "../../gen/zinniaglade/v1/control_pb.ts";
import type { Revoker } from "../../operations/revoker.ts";

interface ControlRouteOptions {
    readonly incarnation: string;
    readonly revoker: Revoker;
}

/** Builds the routes; each handler only translates between messages and typed values. */
export function createControlRoutes(options: ControlRouteOptions): (router: ConnectRouter) => void {
    return router => {
        router.service(Control, {
            revoke: message => ({
                incarnation: options.incarnation,
                state: options.revoker.revoke({
                    requestId: message.requestId,
                    attempt: message.attempt,
                    idempotencyKey: message.idempotencyKey || undefined,
                    incarnation: message.incarnation || undefined,
                }),
            }),
        });
    };
}
