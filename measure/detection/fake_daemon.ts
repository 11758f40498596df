import type { VirtualTime } from "../../proof/fakes/virtual_time.ts";
import type { AuditEntry } from "../../src/audit/audit_entry.ts";
import type { ActiveConfigReader } from "../../src/config/active_config_reader.ts";
import type { RandomSource } from "../../src/core/random_source.ts";
import { DispatchMonitor } from "../../src/health/dispatch_monitor.ts";
import { HealthScoreTable } from "../../src/health/health_score_table.ts";
import { SequentialEvidenceRecorder } from "../../src/health/sequential_evidence_recorder.ts";
import type { MembershipReader } from "../../src/membership/membership_reader.ts";
import { PowerOfTwoSelector } from "../../src/select/power_of_two_selector.ts";
import type { UpstreamSelector } from "../../src/select/upstream_selector.ts";
import { ConsecutiveErrorSelector } from "./consecutive_error_selector.ts";

interface Options {
    readonly id: string;
    readonly time: VirtualTime;
    readonly random: RandomSource;
    readonly membership: MembershipReader;
    readonly config: ActiveConfigReader;
    readonly failureDomain: string;
    readonly baseline: boolean;
    readonly recordAudit: (entry: AuditEntry) => void;
}

/** Health components of one daemon, wired as in the composition root. */
export class FakeDaemon {
    readonly id: string;
    readonly failureDomain: string;
    readonly scoreTable = new HealthScoreTable();
    readonly evidence: SequentialEvidenceRecorder;
    readonly monitor: DispatchMonitor;
    readonly selector: UpstreamSelector;

    constructor({ id, time, random, membership, config, failureDomain, baseline, recordAudit }: Options) {
        this.id = id;
        this.failureDomain = failureDomain;
        const { scoreTable } = this;
        this.evidence = new SequentialEvidenceRecorder({ config, scoreTable });
        const pauses = { measurePausedMs: () => 0 };
        this.monitor = new DispatchMonitor({ clock: time, timers: time, evidence: this.evidence, pauses });
        const audit = { record: recordAudit };
        const leaving = { setLeaving: () => undefined };
        const common = { clock: time, random, membership, audit, leaving, scoreTable };
        this.selector = baseline
            ? new ConsecutiveErrorSelector(common)
            : new PowerOfTwoSelector({ ...common, failureDomain, region: "region" });
    }
}
