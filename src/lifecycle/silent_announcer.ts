import type { LeavingAnnouncer } from "./leaving_announcer.ts";

/** Tells nobody: the other daemons learn of the drain from refusals. */
export class SilentAnnouncer implements LeavingAnnouncer {
    sendLeaving(): void {}
}
