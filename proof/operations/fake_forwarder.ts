import { Code } from "../../src/core/code.ts";
import type { RandomSource } from "../../src/core/random_source.ts";
import { buildOwnerReply } from "../../src/forward/build_owner_reply.ts";
import type { Forwarder } from "../../src/forward/forwarder.ts";
import type { OwnerReply } from "../../src/forward/owner_reply.ts";
import { RevokeState } from "../../src/forward/revoke_state.ts";
import type { SelectedRequest } from "../../src/select/selected_request.ts";
import type { FakeDaemon } from "./fake_daemon.ts";
import type { FakeNetwork } from "./fake_network.ts";
import type { FakeProcess } from "./fake_process.ts";

interface Options {
    readonly daemonId: string;
    readonly process: FakeProcess;
    readonly network: FakeNetwork;
    readonly random: RandomSource;
    readonly find: (daemonId: string) => FakeDaemon;
}

interface PendingAttempt {
    readonly selected: SelectedRequest;
    readonly resolve: (reply: OwnerReply) => void;
}

/**
 * Forwards to owners over a faulty network. A late reply may be delivered to another request to the same
 * owner.
 */
export class FakeForwarder implements Forwarder {
    private readonly pending = new Map<string, PendingAttempt>();

    constructor(private readonly options: Options) {}

    forward(selected: SelectedRequest, signal: AbortSignal): Promise<OwnerReply> {
        const { daemonId, process, network, find } = this.options;
        const ownerId = selected.upstream.ownerId;
        const attemptKey = formatAttemptKey(selected);
        const remainingMs = selected.deadlineMs - process.getMonotonicMs();
        const hop = new AbortController();
        return new Promise(resolve => {
            this.pending.set(attemptKey, { selected, resolve });
            signal.addEventListener("abort", () => {
                this.pending.delete(attemptKey);
                network.send(daemonId, ownerId, () => hop.abort());
            }, { once: true });
            let opened = false;
            network.send(daemonId, ownerId, () => {
                // TCP opens one connection from several copies of its first segment, and none for a process
                // that has ended or has closed its socket.
                if (opened || signal.aborted || !process.isAlive()) {
                    return;
                }
                opened = true;
                const owner = find(ownerId);
                if (!owner.process.isAlive()) {
                    this.handleFailure(selected, Code.PeerUnreachable);
                    return;
                }
                owner.addCloseListener(() => this.handleFailure(selected, Code.PeerCut));
                // The connection belongs to the process that accepted it; a restarted owner receives no copy.
                network.send(daemonId, ownerId, () => {
                    owner.handleRequest(selected, remainingMs, hop.signal, reply => {
                        network.send(ownerId, daemonId, () => this.handleReply(attemptKey, ownerId, reply));
                    });
                });
            });
        });
    }

    revoke(selected: SelectedRequest): Promise<RevokeState> {
        const { daemonId, process, network, find } = this.options;
        const ownerId = selected.upstream.ownerId;
        return new Promise(resolve => {
            network.send(daemonId, ownerId, () => {
                const owner = find(ownerId);
                if (!owner.process.isAlive()) {
                    process.handle(() => resolve(RevokeState.NoReply));
                    return;
                }
                owner.process.handle(() => {
                    const state = owner.revoker.revoke({
                        requestId: selected.requestId,
                        attempt: selected.attempt,
                        idempotencyKey: selected.idempotencyKey,
                        incarnation: selected.ownerIncarnation,
                    });
                    network.send(ownerId, daemonId, () => process.handle(() => resolve(state)));
                });
            });
        });
    }

    private handleFailure(selected: SelectedRequest, code: Code): void {
        const identity = { ownerId: selected.upstream.ownerId, incarnation: "" };
        const reply = buildOwnerReply(identity, selected, { code });
        this.options.process.handle(() => this.close(formatAttemptKey(selected), reply));
    }

    private handleReply(attemptKey: string, ownerId: string, reply: OwnerReply): void {
        const { process, random } = this.options;
        process.handle(() => {
            const others = [...this.pending].filter(([, { selected }]) =>
                selected.upstream.ownerId === ownerId
            );
            const other = others[Math.floor(random.getFloat() * others.length)];
            this.close(this.pending.has(attemptKey) ? attemptKey : other?.[0] ?? attemptKey, reply);
        });
    }

    private close(attemptKey: string, reply: OwnerReply): void {
        this.pending.get(attemptKey)?.resolve(reply);
        this.pending.delete(attemptKey);
    }
}

function formatAttemptKey({ requestId, attempt }: SelectedRequest): string {
    return `${attempt}/${requestId}`;
}
