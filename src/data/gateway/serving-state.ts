/**
 * What a router must know to serve, as the follower has heard it: leases, the deployment, and the engines.
 */

import { Either } from 'purify-ts';
import { PlatformAdapter } from '../../shared/platform-adapter/platform-adapter';
import { isZoneEvacuated } from '../../shared/replication/evacuated-zones';
import { Follower } from '../../shared/replication/follower';
import { Settings } from '../../shared/settings/settings';
import { CONTROL_KEYS } from '../../shared/state/control-keys';
import { Deployment, PartStore, Pool } from '../../shared/state/deployment';
import { Engine } from '../../shared/state/engines';
import { RouteTable } from './route-table';

/** Keeps what a router serves by. */
export class ServingState {
  private table: RouteTable | undefined;
  /** Whether it has held a majority's leases since its start. */
  private hadLease = false;
  private activeEngines = new Set<string>();
  private lastRouterCount: number | undefined;

  constructor(
    private readonly settings: Settings,
    private readonly follower: Follower,
    private readonly adapter: PlatformAdapter,
  ) {}

  /** The look-ups of the newest deployment that could be read. */
  newestTable(): RouteTable | undefined {
    return this.table;
  }

  /** The same, once this router may serve. */
  routes(): RouteTable | undefined {
    return this.canServe() ? this.table : undefined;
  }

  /** A pool of the newest deployment. */
  poolOf(name: string): Pool | undefined {
    return this.table?.poolOf(name);
  }

  /** The stores of the newest deployment. */
  stores(): readonly PartStore[] {
    return this.table?.stores ?? [];
  }

  /** Whether this router may serve: it had leases once, or has them now where the settings are strict, and knows the deployment and the engines. */
  canServe(): boolean {
    const { follower, settings } = this;
    this.hadLease ||= follower.hasLease();
    if (settings.strict && !follower.hasLease()) return false;
    return this.hadLease && this.table !== undefined && this.knowsEngines();
  }

  /** What this router lacks to serve, for people. */
  missing(): string[] {
    const missing: string[] = [];
    if (!this.hadLease) missing.push('leases');
    if (this.table === undefined) missing.push('deployment');
    if (!this.knowsEngines()) missing.push('engines');
    return missing;
  }

  private knowsEngines(): boolean {
    return this.follower.value(CONTROL_KEYS.engines) !== undefined;
  }

  /** The routers that are live, where a majority's leases vouch for them; otherwise the most that were ever seen. */
  routerCount(): number | undefined {
    const count = this.follower.members('router').length;
    const isVouchedFor = count > 0 && this.follower.hasLease();
    if (isVouchedFor || count > (this.lastRouterCount ?? 0)) this.lastRouterCount = count;
    return this.lastRouterCount;
  }

  /** Whether an engine is still listed, not draining, and in no evacuated zone. */
  isEngineActive({ id, zone }: Engine): boolean {
    const { follower } = this;
    if (!this.activeEngines.has(id) || follower.isDraining(id)) return false;
    return !isZoneEvacuated(follower, zone);
  }

  /** Takes a new list of engines. */
  applyEngines(engines: readonly Engine[]): void {
    this.activeEngines = new Set();
    for (const { id, leaving } of engines) if (!leaving) this.activeEngines.add(id);
  }

  /** Takes an operator's document; where it can't be read, the faults by path, and the table stays. */
  applyDeployment(document: unknown): Either<string[], RouteTable> {
    const { table } = this;
    function tableOf(deployment: Deployment): RouteTable {
      return new RouteTable(deployment, table);
    }
    return this.adapter.deployment(document).map(tableOf).ifRight(this.replaceTable.bind(this));
  }

  private replaceTable(table: RouteTable): void {
    this.table = table;
  }
}
