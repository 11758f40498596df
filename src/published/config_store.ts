/**
 * Holds the configuration in force. Only a newer version replaces it, whatever its origin.
 *
 * @example
 * ```ts
 * const store = new ConfigStore({ audit, logger, metrics });
 * store.update({ version: 7, digest, source, configuration }, "platform");
 * store.getActive()?.version; // 7
 * ```
 *
 * @module
 */
import { err, ok, type Result } from "neverthrow";
import type { AuditSink } from "../audit/audit_sink.ts";
import type { ActiveConfig } from "../config/active_config.ts";
import type { ActiveConfigReader } from "../config/active_config_reader.ts";
import { Code } from "../core/code.ts";
import { createFailure } from "../core/create_failure.ts";
import type { Failure } from "../core/failure.ts";
import { LogLevel } from "../core/log_level.ts";
import type { Logger } from "../core/logger.ts";
import type { Metrics } from "../core/metrics.ts";
import type { RejectedConfig } from "./rejected_config.ts";

interface Options {
    readonly audit: AuditSink;
    readonly logger: Logger;
    readonly metrics: Metrics;
}

/** Holds the newest valid configuration and the last rejected one. */
export class ConfigStore implements ActiveConfigReader {
    private active: ActiveConfig | undefined;
    private rejected: RejectedConfig | undefined;

    constructor(private readonly options: Options) {}

    getActive(): ActiveConfig | undefined {
        return this.active;
    }

    /** Rejected configuration to show to operators; undefined after a later one was accepted. */
    getRejected(): RejectedConfig | undefined {
        return this.rejected;
    }

    /** Fails when the version is older than the one in force, or the same with another digest. */
    checkVersion(version: number, digest: string): Result<void, Failure> {
        const active = this.active;
        if (active === undefined || version > active.version) {
            return ok(undefined);
        }
        if (version < active.version) {
            const detail = `version ${version} is older than version ${active.version} in force`;
            return err(createFailure(Code.ConfigStale, { detail }));
        }
        if (digest !== active.digest) {
            const detail = `version ${version} has digest ${digest}, the one in force has ${active.digest}`;
            return err(createFailure(Code.ConfigVersionConflict, { detail }));
        }
        return ok(undefined);
    }

    /** Puts a valid configuration in force when it is newer; does nothing when it is already in force. */
    update(candidate: ActiveConfig, cause: string): Result<ActiveConfig, Failure> {
        const versionCheck = this.checkVersion(candidate.version, candidate.digest);
        if (versionCheck.isErr()) {
            this.reportRejected(candidate.version, candidate.digest, versionCheck.error, cause);
            return err(versionCheck.error);
        }
        const before = this.active;
        if (before?.version === candidate.version) {
            return ok(before);
        }
        this.active = candidate;
        if (this.rejected !== undefined && this.rejected.endsAtVersion <= candidate.version) {
            this.rejected = undefined;
        }
        this.options.audit.record({
            change: "config",
            subject: "configuration",
            before: before === undefined ? "none" : `${before.version} ${before.digest}`,
            after: `${candidate.version} ${candidate.digest}`,
            cause,
            version: candidate.version,
        });
        this.options.logger.write(LogLevel.Info, "config_accepted", { version: candidate.version, cause });
        this.options.metrics.setGauge("config.version", candidate.version);
        return ok(candidate);
    }

    /** Reports a configuration that this daemon itself rejected. */
    reportRejected(version: number, digest: string, failure: Failure, cause: string): void {
        const { code, detail } = failure;
        const activeVersion = this.active?.version ?? 0;
        const endsAtVersion = Math.max(version, activeVersion + 1);
        this.recordRejected({ version, digest, code, detail, endsAtVersion }, cause);
    }

    /**
     * Records a rejected configuration, including one that a peer reports. Of several, the one with the
     * highest `endsAtVersion` is kept, so that daemons that received different ones agree and log each only
     * once.
     */
    recordRejected(rejected: RejectedConfig, cause: string): void {
        const isSuperseded = this.active !== undefined && this.active.version >= rejected.endsAtVersion;
        if (isSuperseded || (this.rejected !== undefined && compareRejected(rejected, this.rejected) <= 0)) {
            return;
        }
        this.rejected = rejected;
        const { version, digest, code, detail } = rejected;
        this.options.logger.write(LogLevel.Error, "config_rejected", {
            code,
            version,
            digest,
            detail,
            cause,
        });
        this.options.metrics.addCount("config.rejected", { code: `${code}` });
    }
}

function compareRejected(left: RejectedConfig, right: RejectedConfig): number {
    return left.endsAtVersion - right.endsAtVersion || left.version - right.version
        || (left.digest === right.digest ? 0 : left.digest < right.digest ? -1 : 1);
}
