/**
 * Obtains proofs of the configuration from other daemons by numbered probes and their acknowledgements.
 *
 * A datagram can lie in the socket of a stopped process for seconds, so that its arrival proves nothing. The
 * acknowledgement of a numbered probe was certainly made after the probe was sent.
 *
 * @example
 * ```ts
 * const number = probes.createNumber("daemon-2", nowMs);
 * probes.recordBeacon(acknowledgement);
 * const peer = probes.takeTarget(peers, nowMs);
 * ```
 *
 * @module
 */
import type { RandomSource } from "../core/random_source.ts";
import type { DaemonInfo } from "../membership/daemon_info.ts";
import type { Beacon } from "./beacon.ts";
import { BeaconKind } from "./beacon_kind.ts";
import type { ProofExchange } from "./proof_exchange.ts";

interface Options {
    readonly random: RandomSource;
    readonly proofs: ProofExchange;
}

interface SentProbe {
    readonly peerId: string;
    readonly sentMs: number;
}

interface Hint {
    readonly peerId: string;
    /** Monotonic milliseconds, by a beacon that may be old. */
    readonly provedMs: number;
}

/** Probes that may still be acknowledged: four in a period of 300 ms, for longer than a bound of 5 s. */
const maxSentProbes = 100;
/**
 * Number of the first probe is below this. A new process starts elsewhere, so that it does not take acknowledgements
 * of probes of its predecessor for its own.
 */
const firstNumberLimit = 2 ** 48;

/** Numbers the probes of one daemon and matches their acknowledgements. */
export class ProofProbes {
    private number: number | undefined;
    private readonly sent = new Map<number, SentProbe>();
    private hint: Hint | undefined;

    constructor(private readonly options: Options) {}

    /** Number of a probe that is sent now; undefined when proofs are not exchanged. */
    createNumber(peerId: string, nowMs: number): number | undefined {
        const { proofs, random } = this.options;
        if (!proofs.isStrict()) {
            return undefined;
        }
        this.number ??= Math.floor(random.getFloat() * firstNumberLimit);
        this.number += 1;
        this.sent.set(this.number, { peerId, sentMs: nowMs });
        const [oldest] = this.sent.keys();
        if (this.sent.size > maxSentProbes && oldest !== undefined) {
            this.sent.delete(oldest);
        }
        return this.number;
    }

    /** Takes the proof of an acknowledgement, and of any other beacon only which daemon may have a newer one. */
    recordBeacon({ claim, daemonId, kind, probeNumber }: Beacon, nowMs: number): void {
        if (claim === undefined) {
            return;
        }
        const probe = probeNumber === undefined ? undefined : this.sent.get(probeNumber);
        if (kind === BeaconKind.Ack && probe?.peerId === daemonId) {
            this.options.proofs.recordClaim(claim, probe.sentMs);
            if (this.hint !== undefined && this.hint.provedMs <= probe.sentMs - claim.ageMs) {
                this.hint = undefined;
            }
            return;
        }
        const provedMs = nowMs - claim.ageMs;
        if (provedMs > (this.hint?.provedMs ?? -Infinity)) {
            this.hint = { peerId: daemonId, provedMs };
        }
    }

    /**
     * The daemon to ask for a newer proof: the one that told of the newest, otherwise the one that watches the store.
     * Undefined when none is needed. Each hint is used once, as its daemon may be gone.
     */
    takeTarget(peers: readonly DaemonInfo[]): DaemonInfo | undefined {
        if (!this.options.proofs.isDue()) {
            return undefined;
        }
        const { hint } = this;
        this.hint = undefined;
        const hinted = hint && peers.find(({ id }) => id === hint.peerId);
        return hinted ?? peers.reduce<DaemonInfo | undefined>(
            (first, peer) => first === undefined || peer.id < first.id ? peer : first,
            undefined,
        );
    }
}
