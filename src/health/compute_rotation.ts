/**
 * Division of the live upstreams of a service into those in rotation, ejected and avoided ones.
 *
 * @example
 * ```ts
 * const { inRotation } = computeRotation(members, service.floor);
 * ```
 *
 * @module
 */
import type { Rotation } from "./rotation.ts";
import type { RotationMember } from "./rotation_member.ts";

/**
 * Leaves at least `min(live, floor)` upstreams in rotation, whatever the evidence says, and ejects the worst
 * first. An unreachable upstream serves no work of this sender: while it is counted among the live ones it
 * prevents one further ejection, and it is out itself when the floor allows that. It never makes an ejected
 * one return. When no upstream can be reached, the fault is the sender's own and counts nowhere.
 */
export function computeRotation(members: readonly RotationMember[], floor: number): Rotation {
    const live = [...new Map(members.map(member => [member.upstreamId, member])).values()];
    const isLocalFault = live.every(member => member.unreachable);
    const unreachable = isLocalFault ? [] : live.filter(member => member.unreachable);
    const failing = live.filter(member => member.failing).sort(compareMembers);

    const maxOut = Math.max(0, Math.floor(live.length - Math.max(0, floor)));
    const ejectedBefore = failing.filter(member => member.ejected).length;
    const maxEjected = Math.min(maxOut, Math.max(ejectedBefore, maxOut - unreachable.length));
    const ejected = new Set(failing.slice(0, maxEjected).map(getId));
    const avoided = new Set(
        unreachable.map(getId).filter(id => !ejected.has(id)).slice(0, Math.max(0, maxOut - ejected.size)),
    );
    return {
        inRotation: new Set(live.map(getId).filter(id => !ejected.has(id) && !avoided.has(id))),
        ejected,
        avoided,
    };
}

/**
 * Orders by severity; those ejected already come first among equals, so that the rotation does not alternate.
 */
function compareMembers(left: RotationMember, right: RotationMember): number {
    return right.excess - left.excess
        || Number(right.ejected) - Number(left.ejected)
        || (left.upstreamId < right.upstreamId ? -1 : 1);
}

function getId(member: RotationMember): string {
    return member.upstreamId;
}
