import type { VirtualTime } from "../../proof/fakes/virtual_time.ts";
import { UpstreamResultKind } from "../../src/dispatch/upstream_result_kind.ts";
import type { UpstreamProfile } from "./upstream_profile.ts";

/** Result of an exchange with a `FakeUpstream`. */
interface FakeResult {
    readonly kind: UpstreamResultKind;
    readonly shed: boolean;
    readonly serviceMs: number;
}

/** Time in milliseconds that an upstream takes to shed a request. */
const shedMs = 1;

/** Fake upstream whose requests only take time. */
export class FakeUpstream {
    private running = 0;

    constructor(private readonly time: VirtualTime, private readonly profile: UpstreamProfile) {}

    /** Takes `demandMs` at full speed, and times out after `timeoutMs`. */
    send(demandMs: number, timeoutMs: number): Promise<FakeResult> {
        if (this.running >= this.profile.shedFrom) {
            return this.wait(shedMs, { kind: UpstreamResultKind.Answered, shed: true, serviceMs: shedMs });
        }
        this.running += 1;
        const load = Math.max(1, this.running / this.profile.capacity);
        const neededMs = demandMs * load ** this.profile.slowExponent;
        const kind = neededMs <= timeoutMs ? UpstreamResultKind.Answered : UpstreamResultKind.TimedOut;
        const serviceMs = Math.min(neededMs, timeoutMs);
        return this.wait(serviceMs, { kind, shed: false, serviceMs }).finally(() => {
            this.running -= 1;
        });
    }

    private wait(delayMs: number, result: FakeResult): Promise<FakeResult> {
        return new Promise(resolve => this.time.start(delayMs, () => resolve(result)));
    }
}
