import { err, ok, type Result } from "neverthrow";
import { Code } from "../../../src/core/code.ts";
import { createFailure } from "../../../src/core/create_failure.ts";
import type { Failure } from "../../../src/core/failure.ts";
import type { Timers } from "../../../src/core/timers.ts";
import type { GossipHandler } from "../../../src/gossip/gossip_handler.ts";
import type { PeerControlClient } from "../../../src/gossip/peer_control_client.ts";

interface Endpoint {
    readonly timers: Timers;
    readonly handler: GossipHandler;
}

/** Links in memory with a latency; each direction can be blocked separately. */
export class FakeNetwork {
    private readonly endpoints = new Map<string, Endpoint>();
    private isCut: (from: string, to: string) => boolean = () => false;

    constructor(private readonly latencyMs: () => number) {}

    setEndpoint(address: string, node: Endpoint): void {
        this.endpoints.set(address, node);
    }

    /** Drops every message for which `isCut` returns true. */
    setCuts(isCut: (from: string, to: string) => boolean): void {
        this.isCut = isCut;
    }

    /** Creates the control client of one daemon. */
    createControl(from: string, timers: Timers): PeerControlClient {
        return {
            sendHeads: (to, message, timeoutMs) =>
                this.send(from, timers, to, timeoutMs, handler => handler.handleExchangeHeads(message)),
            fetchSections: (to, request, timeoutMs) =>
                this.send(from, timers, to, timeoutMs, handler => handler.handleFetchSections(request)),
        };
    }

    private send<Reply>(
        from: string,
        timers: Timers,
        to: string,
        timeoutMs: number,
        handle: (handler: GossipHandler) => Reply | undefined,
    ): Promise<Result<Reply, Failure>> {
        return new Promise(resolve => {
            const timer = timers.start(timeoutMs, () => resolve(err(createFailure(Code.PeerTimeout))));
            const node = this.endpoints.get(to);
            if (node === undefined || this.isCut(from, to)) {
                return;
            }
            node.timers.start(this.latencyMs(), () => {
                const reply = handle(node.handler);
                if (!this.isCut(to, from)) {
                    timers.start(this.latencyMs(), () => {
                        timer.close();
                        resolve(reply === undefined ? err(createFailure(Code.PeerProtocol)) : ok(reply));
                    });
                }
            });
        });
    }
}
