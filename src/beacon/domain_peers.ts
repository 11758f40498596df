/**
 * The other daemons as the exchange of beacons sees them, worked out once for each list.
 *
 * A failure domain is divided into groups of nearly equal size by the order of the identifiers, so that all
 * daemons that have the same list know the same groups without a message.
 *
 * @module
 */
import type { DaemonInfo } from "../membership/daemon_info.ts";

interface Options {
    readonly daemonId: string;
    readonly failureDomain: string;
    readonly getDaemons: () => ReadonlyMap<string, DaemonInfo>;
}

/**
 * Daemons of a group at most. Each sends its counts to each other one in turn, so the group bounds how long a
 * count is on its way.
 */
const maxGroup = 8;

/** Daemons of the own failure domain, of the own group in it, and of the other failure domains. */
export class DomainPeers {
    private daemons: ReadonlyMap<string, DaemonInfo> | undefined;
    private domain: readonly DaemonInfo[] = [];
    private group: readonly DaemonInfo[] = [];
    private groupIds: ReadonlySet<string> = new Set();
    private groupPeerIds: ReadonlySet<string> = new Set();
    private outsideGroup: readonly DaemonInfo[] = [];
    private remoteDomains: readonly (readonly DaemonInfo[])[] = [];
    private groupShare = 1;

    constructor(private readonly options: Options) {}

    /** Follows the list; returns true when it has changed since the last call. */
    update(): boolean {
        const daemons = this.options.getDaemons();
        if (daemons === this.daemons) {
            return false;
        }
        this.daemons = daemons;
        this.build(daemons);
        return true;
    }

    /** Undefined when the daemon is not listed in the own failure domain. */
    find(daemonId: string): DaemonInfo | undefined {
        const daemon = this.daemons?.get(daemonId);
        return daemon?.failureDomain === this.options.failureDomain ? daemon : undefined;
    }

    /** Daemons of the own failure domain, without this one. */
    listDomain(): readonly DaemonInfo[] {
        return this.domain;
    }

    /** Daemons of the own group, without this one. */
    listGroup(): readonly DaemonInfo[] {
        return this.group;
    }

    /** Daemons of the own failure domain outside of the own group. */
    listOutsideGroup(): readonly DaemonInfo[] {
        return this.outsideGroup;
    }

    /** Daemons of each other failure domain. */
    listRemoteDomains(): readonly (readonly DaemonInfo[])[] {
        return this.remoteDomains;
    }

    isInGroup(daemonId: string): boolean {
        return this.groupIds.has(daemonId);
    }

    /** Identifiers of the daemons of the own group, without this one; the same set until the list changes. */
    getGroupPeerIds(): ReadonlySet<string> {
        return this.groupPeerIds;
    }

    /** Share of all daemons that are in the own group. */
    getGroupShare(): number {
        return this.groupShare;
    }

    private build(daemons: ReadonlyMap<string, DaemonInfo>): void {
        const { daemonId, failureDomain } = this.options;
        const domain: DaemonInfo[] = [];
        const foreign = new Map<string, DaemonInfo[]>();
        for (const daemon of daemons.values()) {
            if (daemon.failureDomain !== failureDomain) {
                const known = foreign.get(daemon.failureDomain);
                if (known === undefined) {
                    foreign.set(daemon.failureDomain, [daemon]);
                }
                else {
                    known.push(daemon);
                }
            }
            else if (daemon.id !== daemonId) {
                domain.push(daemon);
            }
        }
        const ids = [daemonId, ...domain.map(({ id }) => id)].sort();
        const groups = Math.ceil(ids.length / maxGroup);
        const findGroup = (index: number): number => Math.floor(index * groups / ids.length);
        const own = findGroup(ids.indexOf(daemonId));
        this.groupIds = new Set(ids.filter((_, index) => findGroup(index) === own));
        this.domain = domain;
        this.group = domain.filter(({ id }) => this.groupIds.has(id));
        this.groupPeerIds = new Set(this.group.map(({ id }) => id));
        this.outsideGroup = domain.filter(({ id }) => !this.groupIds.has(id));
        this.remoteDomains = [...foreign.values()];
        this.groupShare = this.groupIds.size / Math.max(daemons.size, ids.length);
    }
}
