/**
 * Ejection, trial requests and return of the upstreams of all services, as decided by one entry daemon.
 *
 * @example
 * ```ts
 * const rotation = table.update(service, members, unreachable, nowMs);
 * const trial = table.findTrial(service.name, members, { idempotent: true, nowMs });
 * ```
 *
 * @module
 */
import type { ServiceConfig } from "../config/service_config.ts";
import type { Upstream } from "../core/upstream.ts";
import { computeAlarmScore } from "./compute_alarm_score.ts";
import { computeReferenceScore } from "./compute_reference_score.ts";
import { computeRotation } from "./compute_rotation.ts";
import { computeWeight } from "./compute_weight.ts";
import type { EjectionOptions } from "./ejection_options.ts";
import type { EjectionState } from "./ejection_state.ts";
import { raisedScoreThreshold } from "./raised_score_threshold.ts";
import type { Rotation } from "./rotation.ts";
import { TrialResult } from "./trial_result.ts";

/**
 * Milliseconds for which a score must have been raised before it ejects. If the upstreams have a common
 * fault, the raised scores of the others arrive meanwhile and raise the reference.
 */
const minRaisedMs = 400;

/**
 * A common fault raises the other scores up to this time in milliseconds earlier or later: at ten requests a
 * second three requests to each upstream start in this time, and slow ones take a while to end.
 */
const commonFaultDelayMs = 300;

/**
 * Scores older than this in milliseconds do not eject: the other upstreams may have recovered from a common
 * fault since.
 */
const scoreMaxAgeMs = 1_500;

/**
 * Peaks below this fraction of the alarm score may be due to chance: a healthy upstream reaches half of the
 * alarm score in a run with at most the square root of the probability of a false alarm. The number of runs
 * grows with the requests.
 */
const minPeakShare = 0.5;

/** Wait in milliseconds after an inconclusive trial request. */
const trialRetryDelayMs = 500;

/**
 * Largest random extension of a hold, as a fraction of it. Entry daemons then do not send their trial
 * requests at the same time, and the results of the first reach the others before they send theirs.
 */
const holdJitter = 0.5;

/** Keeps the ejection state of each upstream. */
export class EjectionTable {
    private readonly services = new Map<string, Map<string, EjectionState>>();

    constructor(private readonly options: EjectionOptions) {}

    /** Updates the rotation of the service; `unreachable` contains identifiers of upstreams. */
    update(
        service: ServiceConfig,
        members: readonly Upstream[],
        unreachable: ReadonlySet<string>,
        nowMs: number,
    ): Rotation {
        const states = this.updateStates(service.name, members);
        const alarmScore = computeAlarmScore(service.health);
        const candidates = members.map(({ id }) => {
            const state = states.get(id)!;
            this.updateHold(service, id, state, nowMs);
            const excess = this.computeExcess(service, id, states, nowMs);
            const raisedSinceMs = this.options.scoreTable.getRaisedSinceMs(id) ?? nowMs;
            return {
                upstreamId: id,
                excess: state.ejected ? state.excess : excess,
                failing: state.ejected || (excess >= alarmScore && nowMs - raisedSinceMs >= minRaisedMs),
                ejected: state.ejected,
                unreachable: unreachable.has(id),
            };
        });
        const rotation = computeRotation(candidates, service.floor);
        for (const { upstreamId, excess } of candidates) {
            const state = states.get(upstreamId)!;
            if (rotation.ejected.has(upstreamId) && !state.ejected) {
                this.startHold(service, state, excess, nowMs);
                const cause = `score ${excess.toFixed(1)} nats above the service's other upstreams,`
                    + ` alarm at ${alarmScore.toFixed(1)}, ejection ${state.ejections}`;
                this.recordAudit(
                    "ejection",
                    upstreamId,
                    "in rotation",
                    `ejected for ${state.holdMs} ms`,
                    cause,
                );
            }
            else if (state.ejected && !rotation.ejected.has(upstreamId)) {
                this.startReturn(upstreamId, state, "the floor of the service", nowMs);
            }
        }
        return rotation;
    }

    /**
     * Finds an ejected upstream whose hold has ended, for a trial request. A non-idempotent request is used
     * only when no idempotent one has arrived for the length of the hold again: its outcome may become
     * `unknown`, but it is never retried, and a service without idempotent routes could not return an
     * upstream otherwise.
     */
    findTrial(
        service: string,
        members: readonly Upstream[],
        options: { readonly idempotent: boolean; readonly nowMs: number; },
    ): Upstream | undefined {
        const states = this.services.get(service);
        return members.find(({ id }) => {
            const state = states?.get(id);
            if (state === undefined || !state.ejected || state.trialRunning) {
                return false;
            }
            return options.nowMs >= state.holdUntilMs + (options.idempotent ? 0 : state.holdMs);
        });
    }

    recordTrialStart(service: string, upstreamId: string): void {
        const state = this.services.get(service)?.get(upstreamId);
        if (state !== undefined) {
            state.trialRunning = true;
            state.trials += 1;
        }
    }

    /**
     * Ends a trial request. After one that succeeded the upstream returns if its owner's score is low enough.
     */
    recordTrialEnd(service: ServiceConfig, upstreamId: string, result: TrialResult, nowMs: number): void {
        const state = this.services.get(service.name)?.get(upstreamId);
        if (state === undefined) {
            return;
        }
        state.trialRunning = false;
        if (!state.ejected) {
            return;
        }
        const score = this.options.scoreTable.getScore(upstreamId, state.changedAtMs) ?? 0;
        if (result === TrialResult.Failed) {
            this.startHold(service, state, state.excess, nowMs);
            const after = `ejected for ${state.holdMs} ms`;
            this.recordAudit("ejection", upstreamId, "ejected", after, "a trial request failed or was slow");
        }
        else if (result === TrialResult.Inconclusive) {
            state.holdUntilMs = nowMs + trialRetryDelayMs;
        }
        else if (score <= computeAlarmScore(service.health) / 2) {
            this.startReturn(upstreamId, state, `good trial requests, score ${score.toFixed(1)}`, nowMs);
        }
    }

    /** Weight in selection, above 0 and at most 1; lower while the upstream is new or has just returned. */
    getWeight(service: ServiceConfig, upstreamId: string, nowMs: number): number {
        const firstSeenMs = this.options.membership.getFirstSeenMs(upstreamId) ?? Number.NEGATIVE_INFINITY;
        const returnedAtMs = this.services.get(service.name)?.get(upstreamId)?.returnedAtMs ?? firstSeenMs;
        return computeWeight(Math.max(firstSeenMs, returnedAtMs), nowMs, service.health.rampMs);
    }

    getState(service: string, upstreamId: string): Readonly<EjectionState> | undefined {
        return this.services.get(service)?.get(upstreamId);
    }

    /** Removes upstreams that are no longer listed and adds new ones. */
    private updateStates(service: string, members: readonly Upstream[]): Map<string, EjectionState> {
        const before = this.services.get(service);
        const states = new Map(members.map(({ id }) => [id, before?.get(id) ?? createState()]));
        this.services.set(service, states);
        return states;
    }

    /**
     * The reference is subtracted only from scores that reach the alarm, because others do not cause an
     * ejection. It is the reference of the peaks of two groups: upstreams whose scores have been raised since
     * the fault began, and upstreams that are not raised although their score is newer by the delay of a
     * common fault. Older scores are no evidence for or against a common fault. Peaks are used because
     * current scores may be older or newer than this one.
     */
    private computeExcess(
        service: ServiceConfig,
        upstreamId: string,
        states: ReadonlyMap<string, EjectionState>,
        nowMs: number,
    ): number {
        const { scoreTable } = this.options;
        const alarmScore = computeAlarmScore(service.health);
        const sinceMs = Math.max(states.get(upstreamId)!.changedAtMs, nowMs - scoreMaxAgeMs);
        const score = scoreTable.getScore(upstreamId, sinceMs) ?? 0;
        if (score < alarmScore) {
            return score;
        }
        const raisedSinceMs = scoreTable.getRaisedSinceMs(upstreamId) ?? nowMs;
        const others = [...states].filter(([id, state]) => id !== upstreamId && !state.ejected);
        const beginMs = raisedSinceMs - commonFaultDelayMs;
        const isKnown = (id: string): boolean =>
            scoreTable.getScore(id, raisedSinceMs + commonFaultDelayMs) !== undefined
            || (scoreTable.getScore(id, beginMs) !== undefined &&
                scoreTable.getPeak(id, beginMs) >= raisedScoreThreshold);
        const longestMs = Math.max(commonFaultDelayMs, ...service.routes.map(({ deadlineMs }) => deadlineMs));
        const peaks = others.filter(([id]) => isKnown(id)).map(([id]) => {
            const peak = scoreTable.getPeak(id, beginMs);
            const marginMs = peak < minPeakShare * alarmScore ? commonFaultDelayMs : longestMs;
            return this.hasRecoveredBefore(id, upstreamId, marginMs) ? 0 : peak;
        });
        return score - computeReferenceScore(others.length, peaks);
    }

    /**
     * True when the score of `id` has fallen to zero and that of `upstreamId` was at its peak at least
     * `marginMs` later: the fault that raised the first score has ended, and the second one has not. A fault
     * may raise a score until the requests that started during it have reached their deadlines. This time is
     * the margin unless the peak may be due to chance.
     */
    private hasRecoveredBefore(id: string, upstreamId: string, marginMs: number): boolean {
        const zeroSinceMs = this.options.scoreTable.getZeroSinceMs(id);
        return zeroSinceMs !== undefined &&
            this.options.scoreTable.isAtPeak(upstreamId, zeroSinceMs + marginMs);
    }

    /**
     * Ejects the upstream or extends its ejection. The hold doubles unless the upstream was in rotation for
     * the longest hold before.
     */
    private startHold(service: ServiceConfig, state: EjectionState, excess: number, nowMs: number): void {
        const { holdMinMs, holdMaxMs } = service.health;
        const isFirst = state.holdMs === 0 || (!state.ejected && nowMs - state.changedAtMs >= holdMaxMs);
        const jitter = 1 + holdJitter * this.options.random.getFloat();
        state.holdMs = isFirst ? holdMinMs : Math.min(holdMaxMs, state.holdMs * 2);
        state.holdUntilMs = nowMs + Math.min(holdMaxMs, state.holdMs * jitter);
        state.ejected = true;
        state.changedAtMs = nowMs;
        state.excess = excess;
        state.ejections += 1;
    }

    /**
     * Starts a new hold after one that has ended when a trial request of another entry daemon has just
     * failed.
     */
    private updateHold(
        service: ServiceConfig,
        upstreamId: string,
        state: EjectionState,
        nowMs: number,
    ): void {
        if (!state.ejected || state.trialRunning || nowMs < state.holdUntilMs) {
            return;
        }
        const score = this.options.scoreTable.getScore(upstreamId, state.holdUntilMs - state.holdMs / 2) ?? 0;
        if (score >= computeAlarmScore(service.health)) {
            this.startHold(service, state, state.excess, nowMs);
            const cause = `score ${score.toFixed(1)} nats after the requests of other senders`;
            this.recordAudit("ejection", upstreamId, "ejected", `ejected for ${state.holdMs} ms`, cause);
        }
    }

    private startReturn(upstreamId: string, state: EjectionState, cause: string, nowMs: number): void {
        state.ejected = false;
        state.changedAtMs = nowMs;
        state.returnedAtMs = nowMs;
        this.recordAudit("return", upstreamId, "ejected", "in rotation", cause);
    }

    private recordAudit(change: string, subject: string, before: string, after: string, cause: string): void {
        const version = this.options.membership.getVersion();
        this.options.audit.record({ change, subject, before, after, cause, version });
    }
}

function createState(): EjectionState {
    return {
        ejected: false,
        changedAtMs: Number.NEGATIVE_INFINITY,
        returnedAtMs: undefined,
        excess: 0,
        holdMs: 0,
        holdUntilMs: 0,
        trialRunning: false,
        ejections: 0,
        trials: 0,
    };
}
