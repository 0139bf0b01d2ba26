/**
 * Grants routers the permits under which they may send to engines that warm up. Each voter is by itself the authority
 * over a fixed share of the requests that a cold engine may get in a second, so that the shares of all voters stay
 * within that bound however the machines are cut off from each other. Permits are granted for warm engines too: a
 * router that learns that an engine has turned cold holds them already.
 */

import { Clock } from '../../shared/ports/clock';
import { PermitGrant, PERMIT_SPACING_MS } from '../../shared/replication/warm-up-permits';
import { Settings } from '../../shared/settings/settings';
import { TimeLimits } from '../../shared/settings/time-limits';
import { Pool } from '../../shared/state/deployment';
import { Engine } from '../../shared/state/engines';
import { incarnationOf, Member } from '../../shared/state/members';
import { VersionedValue } from '../../shared/state/versions';
import { allVoters, Voter, VoterSet } from '../../shared/state/voter-set';
import { CONTROL_KEYS } from '../../shared/state/control-keys';
import { DocumentParser } from '../configuration/deployment-change';
import { CommittedPools } from './committed-pools';
import { PermitShares, quotaOf, VoterPlace } from './permit-shares';
import { PermitTable, WantedPermits } from './permit-table';
import { UnreachableEngines } from './unreachable-engines';

/** What granting permits goes by. The lists are new objects where they have changed. */
export interface WarmUpPermitsDependencies {
  clock: Clock;
  settings: Pick<Settings, 'warmUpOvershootRatio' | 'warmUpSlack'>;
  timeLimits: Pick<TimeLimits, 'leaseMs' | 'leaseExpiryMs'>;
  /** The id of this controller's disk. */
  disk: string;
  voters: () => VoterSet | undefined;
  /** Whether this controller is joined to a quorum: one that is not may have been replaced. */
  hasQuorum: () => boolean;
  pools: () => readonly Pool[];
  engines: () => readonly Engine[];
  /** The nodes that hold a lease here. */
  members: () => readonly Member[];
}

/** Clocks may run at rates that differ by less than a tenth. */
const CLOCK_RATE_RATIO = 1.1;

/** What the shares were computed from. */
interface SharesBasis {
  voters: VoterSet;
  pools: readonly Pool[];
  engines: readonly Engine[];
  members: readonly Member[];
}

function diskOf({ disk }: Voter): string {
  return disk;
}

/** The permits of one controller. */
export class WarmUpPermits {
  private readonly table: PermitTable;
  private readonly shares = new PermitShares();
  private readonly reported: UnreachableEngines;
  private readonly commitmentMs: number;
  /** When this controller began to be a voter, as far as this process knows, in ms of the clock. */
  private voterSince: number | undefined;
  private basis: SharesBasis | undefined;
  private wantedByIncarnation = new Map<string, WantedPermits[]>();

  constructor(private readonly dependencies: WarmUpPermitsDependencies) {
    const { clock, timeLimits, engines, members } = dependencies;
    const reportMs = timeLimits.leaseMs;
    this.reported = new UnreachableEngines({ clock, reportMs, engines, members });
    const afterReleaseMs = PERMIT_SPACING_MS * CLOCK_RATE_RATIO;
    this.commitmentMs = timeLimits.leaseExpiryMs + afterReleaseMs;
    this.table = new PermitTable(clock, { afterGrantMs: this.commitmentMs, afterReleaseMs });
  }

  /** Grants or renews the permits of a node that is granted a lease; `knowsLast` tells that it has applied what it was granted last. */
  grant(member: Member, knowsLast: boolean): PermitGrant[] {
    const incarnation = incarnationOf(member);
    return this.table.grant(incarnation, this.wantedBy(incarnation), knowsLast);
  }

  /** Notes that a node has left by itself. */
  release(member: Member): void {
    this.table.release(incarnationOf(member));
  }

  /** Notes the engines that a router could not connect to. */
  noteUnreachable(member: Member, engines: readonly string[]): void {
    this.reported.note(member, engines);
  }

  /** The engines that routers of their zones can't connect to. */
  unreachable(): string[] {
    return this.reported.list();
  }

  /** What was granted and what is reported, as metric rows. */
  metricRows(): string[] {
    return [
      `plumhollow_controller_permits_granted_total ${this.table.grantedCount()}`,
      `plumhollow_controller_unreachable_engines ${this.reported.list().length}`,
    ];
  }

  private wantedBy(incarnation: string): readonly WantedPermits[] {
    const voters = this.dependencies.voters();
    if (!voters || !this.mayGrant(voters)) return [];
    this.refreshShares(voters);
    return this.wantedByIncarnation.get(incarnation) ?? [];
  }

  /** Whether this is a voter for so long that nothing is in use that an earlier process here granted, and that the other voters count it. */
  private mayGrant(voters: VoterSet): boolean {
    const { clock, disk, hasQuorum } = this.dependencies;
    if (!allVoters(voters).map(diskOf).includes(disk)) {
      this.voterSince = undefined;
      return false;
    }
    const now = clock.now();
    this.voterSince ??= now;
    return now - this.voterSince >= this.commitmentMs && hasQuorum();
  }

  private refreshShares(voters: VoterSet): void {
    const { pools, engines, members } = this.dependencies;
    const basis = { voters, pools: pools(), engines: engines(), members: members() };
    const before = this.basis;
    const isSame =
      before?.voters === basis.voters &&
      before.pools === basis.pools &&
      before.engines === basis.engines &&
      before.members === basis.members;
    if (isSame) return;
    this.basis = basis;
    this.computeShares(basis);
  }

  private computeShares({ voters, pools, engines, members }: SharesBasis): void {
    const routers = members.filter(isRouter);
    const place = this.placeAmong(voters);
    const quotas = this.quotas(pools, place.count);
    this.table.forgetEnded();
    this.shares.retain(namesOf(voters, engines, routers));
    this.wantedByIncarnation = new Map();
    for (const engine of engines) {
      const quota = quotas.get(engine.pool ?? '') ?? 0;
      if (quota === 0 || engine.leaving) continue;
      for (const [incarnation, count] of this.shares.share(engine, routers, quota, place))
        this.want(incarnation, { engine: engine.id, count, quota });
    }
  }

  private want(incarnation: string, wanted: WantedPermits): void {
    const all = this.wantedByIncarnation.get(incarnation) ?? [];
    all.push(wanted);
    this.wantedByIncarnation.set(incarnation, all);
  }

  private placeAmong(voters: VoterSet): VoterPlace {
    const disks = allVoters(voters).map(diskOf).sort();
    const { disk } = this.dependencies;
    return { disk, index: disks.indexOf(disk), count: disks.length };
  }

  /** The quota of an engine, by the pools whose engines warm up. */
  private quotas(pools: readonly Pool[], voterCount: number): Map<string, number> {
    const { warmUpOvershootRatio, warmUpSlack } = this.dependencies.settings;
    const quotas = new Map<string, number>();
    for (const { name, warmUpPerS } of pools)
      if (warmUpPerS > 0)
        quotas.set(name, quotaOf(warmUpPerS * warmUpOvershootRatio + warmUpSlack, voterCount));
    return quotas;
  }
}

function isRouter({ role }: Member): boolean {
  return role === 'router';
}

/** All names that shares are hashed by. */
function namesOf(
  voters: VoterSet,
  engines: readonly Engine[],
  routers: readonly Member[],
): Set<string> {
  const names = new Set(allVoters(voters).map(diskOf));
  for (const { id } of engines) names.add(id);
  for (const { name } of routers) names.add(name);
  return names;
}

const NO_ENGINES: readonly Engine[] = [];

/** What the permits of a running controller go by. */
export interface PermitsController {
  settings: Settings;
  timeLimits: TimeLimits;
  store: { diskId: string };
  voters: () => VoterSet | undefined;
  hasQuorum: () => boolean;
  committedValue: <T>(key: string) => { place: VersionedValue; value: T } | undefined;
  leases: { members: () => readonly Member[] };
}

/** The permits of a running controller; `parser` reads its deployments. */
export function makeWarmUpPermits(
  controller: PermitsController,
  clock: Clock,
  parser: DocumentParser | undefined,
): WarmUpPermits {
  const { settings, timeLimits, store } = controller;
  const pools = new CommittedPools({
    clock,
    parser,
    committed: committedDeployment,
    minIntervalMs: timeLimits.leaseRenewalMs,
  });
  function committedDeployment(): VersionedValue | undefined {
    return controller.committedValue(CONTROL_KEYS.deployment)?.place;
  }
  function engines(): readonly Engine[] {
    return controller.committedValue<Engine[]>(CONTROL_KEYS.engines)?.value ?? NO_ENGINES;
  }
  function members(): readonly Member[] {
    return controller.leases.members();
  }
  function hasQuorum(): boolean {
    return controller.hasQuorum();
  }
  return new WarmUpPermits({
    clock,
    settings,
    timeLimits,
    disk: store.diskId,
    voters: controller.voters,
    hasQuorum,
    pools: pools.pools.bind(pools),
    engines,
    members,
  });
}
