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
    const unreachable: string[] = [];
    for (const engine of this.dependencies.engines())
      if (this.reports.has(engine.id) && this.isUnreachable(engine)) unreachable.push(engine.id);
    return unreachable.sort();
  }

  private isUnreachable({ id, zone }: Engine): boolean {
    let routers = 0;
    let reporters = 0;
    for (const member of this.dependencies.members()) {
      if (member.role !== 'router' || member.zone !== zone) continue;
      routers++;
      if (this.reports.get(id)?.has(incarnationOf(member))) reporters++;
    }
    return reporters > 0 && reporters >= Math.min(MIN_REPORTERS, routers);
  }

  private forgetOld(): void {
    const after = this.dependencies.clock.now() - this.dependencies.reportMs;
    for (const [engine, reporters] of this.reports) {
      for (const [incarnation, at] of reporters) if (at <= after) reporters.delete(incarnation);
      if (reporters.size === 0) this.reports.delete(engine);
    }
  }
}
