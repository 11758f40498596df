/**
 * The other daemons as targets of beacons, computed once for each daemon list.
 *
 * A failure domain is divided into groups of nearly equal size by the order of the identifiers, so that
 * daemons with the same list compute the same groups without a message.
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
 * Largest number of daemons in a group. Each daemon sends its counts to the others in turn, so the size of
 * the group bounds the delay of a count.
 */
const maxGroup = 8;

/** Daemons of the local failure domain, of the local group in it, and of the other failure domains. */
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

    /**
     * Recomputes the groups if the daemon list has changed since the last call; returns true in this case.
     */
    update(): boolean {
        const daemons = this.options.getDaemons();
        if (daemons === this.daemons) {
            return false;
        }
        this.daemons = daemons;
        this.build(daemons);
        return true;
    }

    /** Undefined when the daemon is not listed in the local failure domain. */
    find(daemonId: string): DaemonInfo | undefined {
        const daemon = this.daemons?.get(daemonId);
        return daemon?.failureDomain === this.options.failureDomain ? daemon : undefined;
    }

    /** Daemons of the local failure domain, without this one. */
    listDomain(): readonly DaemonInfo[] {
        return this.domain;
    }

    /** Daemons of the local group, without this one. */
    listGroup(): readonly DaemonInfo[] {
        return this.group;
    }

    /** Daemons of the local failure domain outside of the local group. */
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

    /**
     * Identifiers of the daemons of the local group, without this one. The same set object is returned until
     * the daemon list changes.
     */
    getGroupPeerIds(): ReadonlySet<string> {
        return this.groupPeerIds;
    }

    /** Fraction of all daemons that are in the local group. */
    getGroupShare(): number {
        return this.groupShare;
    }

    private build(daemons: ReadonlyMap<string, DaemonInfo>): void {
        const { daemonId, failureDomain } = this.options;
        const domain: DaemonInfo[] = [];
        const remoteDomains = new Map<string, DaemonInfo[]>();
        for (const daemon of daemons.values()) {
            if (daemon.failureDomain !== failureDomain) {
                const known = remoteDomains.get(daemon.failureDomain);
                if (known === undefined) {
                    remoteDomains.set(daemon.failureDomain, [daemon]);
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
        const ownGroup = findGroup(ids.indexOf(daemonId));
        this.groupIds = new Set(ids.filter((_, index) => findGroup(index) === ownGroup));
        this.domain = domain;
        this.group = domain.filter(({ id }) => this.groupIds.has(id));
        this.groupPeerIds = new Set(this.group.map(({ id }) => id));
        this.outsideGroup = domain.filter(({ id }) => !this.groupIds.has(id));
        this.remoteDomains = [...remoteDomains.values()];
        this.groupShare = this.groupIds.size / Math.max(daemons.size, ids.length);
    }
}
