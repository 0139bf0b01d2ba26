/**
 * The engines that routers report as unreachable. One counts once enough routers of its own zone report it: a single
 * router may be cut off itself, and routers of other zones may be cut off from the whole zone.
 */

import { Clock } from '../../shared/ports/clock';
import { Engine } from '../../shared/state/engines';
import { incarnationOf, Member } from '../../shared/state/members';

/** How many routers of an engine's zone must report it, or all where there are fewer. */
const MIN_REPORTERS = 2;

/** What the reports are judged by. */
export interface UnreachableEnginesDependencies {
  clock: Clock;
  /** How long a report counts, in ms. */
  reportMs: number;
  engines: () => readonly Engine[];
  /** The nodes that hold a lease here. */
  members: () => readonly Member[];
}

/** Keeps the reports of routers. */
export class UnreachableEngines {
  /** When a router last reported an engine, by engine and incarnation. */
  private readonly reports = new Map<string, Map<string, number>>();

  constructor(private readonly dependencies: UnreachableEnginesDependencies) {}

  /** Notes the engines that a router reports. */
  note(router: Member, engines: readonly string[]): void {
    const now = this.dependencies.clock.now();
    for (const engine of engines) {
      const reporters = this.reports.get(engine) ?? new Map<string, number>();
      this.reports.set(engine, reporters.set(incarnationOf(router), now));
    }
  }

  /** The ids of the engines that count as unreachable now, in order. */
  list(): string[] {
    this.forgetOld();
    if (this.reports.size === 0) return [];
    const routersByZone = this.routersByZone();
    const unreachable: string[] = [];
    for (const { id, zone } of this.dependencies.engines())
      if (this.isUnreachable(id, routersByZone.get(zone) ?? [])) unreachable.push(id);
    return unreachable.sort();
  }

  private isUnreachable(id: string, routers: readonly string[]): boolean {
    const reports = this.reports.get(id);
    if (!reports) return false;
    function hasReported(router: string): boolean {
      return reports!.has(router);
    }
    const reporters = routers.filter(hasReported).length;
    return reporters > 0 && reporters >= Math.min(MIN_REPORTERS, routers.length);
  }

  /** The incarnations of the routers that hold a lease here, by their zones. */
  private routersByZone(): Map<string, string[]> {
    const byZone = new Map<string, string[]>();
    for (const member of this.dependencies.members()) {
      if (member.role !== 'router') continue;
      const routers = byZone.get(member.zone) ?? [];
      routers.push(incarnationOf(member));
      byZone.set(member.zone, routers);
    }
    return byZone;
  }

  private forgetOld(): void {
    const after = this.dependencies.clock.now() - this.dependencies.reportMs;
    for (const [engine, reporters] of this.reports) {
      for (const [incarnation, at] of reporters) if (at <= after) reporters.delete(incarnation);
      if (reporters.size === 0) this.reports.delete(engine);
    }
  }
}
