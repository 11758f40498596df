/**
 * Divides the live upstreams of a service into those in rotation, ejected ones and avoided ones.
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
 * Keeps at least `min(live, floor)` upstreams in rotation, regardless of the evidence, and ejects the worst
 * first. An unreachable upstream serves no requests of this entry daemon, so each one prevents one further
 * ejection. It is avoided itself when the floor allows that, and it never makes an ejected upstream return.
 * When no upstream can be reached, the fault is local to this daemon and no upstream counts as unreachable.
 */
export function computeRotation(members: readonly RotationMember[], floor: number): Rotation {
    const live = [...new Map(members.map(member => [member.upstreamId, member])).values()];
    const isLocalFault = live.every(member => member.unreachable);
    const unreachable = isLocalFault ? [] : live.filter(member => member.unreachable);
    const failing = live.filter(member => member.failing).sort(compareMembers);

    const maxNotInRotation = Math.max(0, Math.floor(live.length - Math.max(0, floor)));
    const ejectedBefore = failing.filter(member => member.ejected).length;
    const maxEjected = Math.min(
        maxNotInRotation,
        Math.max(ejectedBefore, maxNotInRotation - unreachable.length),
    );
    const ejected = new Set(failing.slice(0, maxEjected).map(getId));
    const avoided = new Set(
        unreachable.map(getId).filter(id => !ejected.has(id)).slice(
            0,
            Math.max(0, maxNotInRotation - ejected.size),
        ),
    );
    return {
        inRotation: new Set(live.map(getId).filter(id => !ejected.has(id) && !avoided.has(id))),
        ejected,
        avoided,
    };
}

/**
 * Orders by severity. Among equals, ejected upstreams come first, so that the ejection does not alternate.
 */
function compareMembers(left: RotationMember, right: RotationMember): number {
    return right.excess - left.excess
        || Number(right.ejected) - Number(left.ejected)
        || (left.upstreamId < right.upstreamId ? -1 : 1);
}

function getId(member: RotationMember): string {
    return member.upstreamId;
}
