/**
 * What a router and the controllers tell each other, with its leases, of engines that may be cold: the permits that it
 * is granted, and the engines that cannot be connected to and so may be starting again.
 */

import { Stream } from 'most';
import { makePushStream } from '../util/push-stream';
import { HeldPermits, PermitUpdate } from './warm-up-permits';

/** What a controller's grant of a lease says of engines that may be cold. */
export interface WarmUpUpdate extends PermitUpdate {
  /** The engines that routers of their zones can't connect to; left out where they are as before. */
  unreachable?: readonly string[];
}

/** A router's part in the warm-up of engines. */
export class FollowerWarmUp {
  /** Engines that a controller has begun to report as unreachable. */
  readonly notices: Stream<string>;
  private readonly permits: HeldPermits;
  private readonly pushed = makePushStream<string>();
  /** When this router last could not connect to an engine, in ms of the clock. */
  private readonly failedAt = new Map<string, number>();
  /** The engines that each controller reports, by its disk. */
  private readonly reportedByDisk = new Map<string, ReadonlySet<string>>();

  /** A failure is told to controllers for `reportMs`; `wake` has them hear of it soon. */
  constructor(
    private readonly now: () => number,
    private readonly reportMs: number,
    private readonly wake: () => void,
  ) {
    this.permits = new HeldPermits(now);
    this.notices = this.pushed.stream;
  }

  /** How many permits for an engine may be used now. */
  permitCount(engine: string): number {
    return this.permits.count(engine);
  }

  /** Has the controllers hear that an engine could not be connected to. */
  reportUnreachable(engine: string): void {
    const isNew = !this.unreachable().includes(engine);
    this.failedAt.set(engine, this.now());
    if (isNew) this.wake();
  }

  /** The engines that the next lease request reports. */
  unreachable(): string[] {
    const after = this.now() - this.reportMs;
    for (const [engine, at] of this.failedAt) if (at <= after) this.failedAt.delete(engine);
    return [...this.failedAt.keys()];
  }

  /** The engines that controllers report as unreachable, by what they said last. */
  reported(): string[] {
    const engines = new Set<string>();
    for (const reported of this.reportedByDisk.values())
      for (const engine of reported) engines.add(engine);
    return [...engines];
  }

  /** Notes what a controller's grant says. */
  note(update: WarmUpUpdate): void {
    this.permits.note(update);
    const { disk, isComplete, unreachable } = update;
    if (unreachable === undefined && !isComplete) return;
    const before = this.reportedByDisk.get(disk);
    this.reportedByDisk.set(disk, new Set(unreachable));
    for (const engine of unreachable ?? []) if (!before?.has(engine)) this.pushed.push(engine);
  }

  /** Gives all permits back; none are taken after that. */
  giveBack(): void {
    this.permits.giveBack();
  }
}
