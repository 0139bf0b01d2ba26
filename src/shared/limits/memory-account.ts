/**
 * The account of the memory that a process's unfinished work holds: connections, unfinished bodies, requests that wait
 * and answers that are not read. Work that needs more than there is waits; after a while the work that has held most for
 * longest without getting anywhere gives way.
 */

import { Clock } from '../ports/clock';

/** Who holds memory of the account. */
export interface MemoryHolder {
  /** Whether it may be given up: nothing that is lost with it has run or will run. */
  isEvictable: () => boolean;
  /** Gives it up; it releases what it holds before this returns. */
  evict: () => void;
}

/** The bounds of an account. */
export interface MemoryAccountOptions {
  /** Bytes that all holders may hold together. */
  capacityBytes: number;
  /** The part of the capacity that only holders of little may use. */
  reserveBytes: number;
  /** Up to how many bytes a holder counts as one of little. */
  smallBytes: number;
  /** How many holders there may be. */
  maxHolders: number;
  /** How long work waits for memory before others give way, and how long a holder that gets nowhere is left alone, in ms. */
  patienceMs: number;
}

/** Counts and figures of an account. */
export interface MemoryAccountFigures {
  capacityBytes: number;
  usedBytes: number;
  holders: number;
  maxHolders: number;
  waiting: number;
  /** Holders that gave way since the start. */
  evicted: number;
  /** Connections that found no place since the start. */
  refused: number;
}

/** A request for more memory that waits. */
interface MemoryWaiter {
  hold: MemoryHold;
  bytes: number;
  since: number;
  onGranted: () => void;
}

/** How often it is looked whether others must give way, as a ratio of the patience. */
const CHECK_RATIO = 0.25;

/** What one holder holds. */
export class MemoryHold {
  /** What it holds now. */
  bytes = 0;
  /** Bytes times the ms for which they were held, up to `changedAt`. */
  private heldByteMs = 0;
  private changedAt: number;
  /** When it last got anywhere, in ms of the clock. */
  private progressAt: number;
  private isClosed = false;

  /** Made by `MemoryAccount.open`. */
  constructor(
    private readonly account: MemoryAccount,
    readonly holder: MemoryHolder,
    now: number,
  ) {
    this.changedAt = now;
    this.progressAt = now;
  }

  /**
   * Holds so many bytes more. Where there is no room for them now, it holds none of them yet, the result is false, and
   * `onGranted` is called once it holds them.
   */
  reserve(bytes: number, onGranted: () => void): boolean {
    return this.isClosed || this.account.reserve(this, bytes, onGranted);
  }

  /** Holds so many bytes more that are in memory already; others may have to give way. */
  add(bytes: number): void {
    if (!this.isClosed) this.account.add(this, bytes);
  }

  /** Holds so many bytes less. */
  release(bytes: number): void {
    if (!this.isClosed) this.account.release(this, Math.min(bytes, this.bytes));
  }

  /** Bytes that the account has left. */
  roomBytes(): number {
    return this.account.roomBytes();
  }

  /** Notes that its work got further, so that it is left alone for a while. */
  noteProgress(): void {
    this.progressAt = this.account.now();
  }

  /** Takes back what it waits for. */
  cancel(): void {
    this.account.cancel(this);
  }

  /** Holds nothing any more. */
  close(): void {
    if (this.isClosed) return;
    this.account.close(this);
    this.isClosed = true;
  }

  /** Changes what it holds; for the account only. */
  change(bytes: number, now: number): void {
    this.heldByteMs = this.cost(now);
    this.changedAt = now;
    this.bytes += bytes;
  }

  /** What it has cost: bytes times ms. */
  cost(now: number): number {
    return this.heldByteMs + this.bytes * (now - this.changedAt);
  }

  /** For how long it has got nowhere, in ms. */
  stalledMs(now: number): number {
    return now - this.progressAt;
  }
}

/** The account of one process. */
export class MemoryAccount {
  private readonly holds = new Set<MemoryHold>();
  private waiters: MemoryWaiter[] = [];
  private usedBytes = 0;
  private evicted = 0;
  private refused = 0;
  private isChecking = false;
  private pressureListener: (() => void) | undefined;

  constructor(
    private readonly clock: Clock,
    private readonly options: MemoryAccountOptions,
  ) {}

  /** Opens a hold of so many bytes; undefined where there are as many holders as may be, and none gives way. */
  open(holder: MemoryHolder, bytes: number): MemoryHold | undefined {
    if (this.holds.size >= this.options.maxHolders && !this.evictCostliest(undefined)) {
      this.refused++;
      this.pressureListener?.();
      return undefined;
    }
    const hold = new MemoryHold(this, holder, this.now());
    this.holds.add(hold);
    this.add(hold, bytes);
    return hold;
  }

  /** Sets what is called when a holder gives way, or finds no place. */
  onPressure(listener: () => void): void {
    this.pressureListener = listener;
  }

  /** Counts and figures. */
  figures(): MemoryAccountFigures {
    const { usedBytes, evicted, refused } = this;
    const { capacityBytes, maxHolders } = this.options;
    const holders = this.holds.size;
    const waiting = this.waiters.length;
    return { capacityBytes, usedBytes, holders, maxHolders, waiting, evicted, refused };
  }

  /** Bytes that are left of the capacity. */
  roomBytes(): number {
    return Math.max(0, this.options.capacityBytes - this.usedBytes);
  }

  /** Ms of the clock. */
  now(): number {
    return this.clock.now();
  }

  /** See `MemoryHold.reserve`. */
  reserve(hold: MemoryHold, bytes: number, onGranted: () => void): boolean {
    if (this.hasRoom(hold, bytes)) {
      this.grant(hold, bytes);
      return true;
    }
    this.waiters.push({ hold, bytes, since: this.now(), onGranted });
    this.scheduleCheck();
    return false;
  }

  /** See `MemoryHold.add`. */
  add(hold: MemoryHold, bytes: number): void {
    this.grant(hold, bytes);
    while (this.usedBytes > this.options.capacityBytes) if (!this.evictCostliest(hold)) break;
  }

  /** See `MemoryHold.release`. */
  release(hold: MemoryHold, bytes: number): void {
    this.usedBytes -= bytes;
    hold.change(-bytes, this.now());
    this.grantWaiters();
  }

  /** See `MemoryHold.cancel`. */
  cancel(hold: MemoryHold): void {
    function isOther(waiter: MemoryWaiter): boolean {
      return waiter.hold !== hold;
    }
    if (this.waiters.length > 0) this.waiters = this.waiters.filter(isOther);
  }

  /** See `MemoryHold.close`. */
  close(hold: MemoryHold): void {
    this.cancel(hold);
    this.holds.delete(hold);
    this.release(hold, hold.bytes);
  }

  /** Whether there is room: one that holds little may use all of the capacity, and anyone may whose work is the only one. */
  private hasRoom(hold: MemoryHold, bytes: number): boolean {
    const { capacityBytes, reserveBytes, smallBytes } = this.options;
    const isSmall = hold.bytes + bytes <= smallBytes;
    const boundBytes = isSmall ? capacityBytes : capacityBytes - reserveBytes;
    return this.usedBytes + bytes <= boundBytes || this.usedBytes === hold.bytes;
  }

  private grant(hold: MemoryHold, bytes: number): void {
    this.usedBytes += bytes;
    hold.change(bytes, this.now());
    hold.noteProgress();
  }

  /** Grants what waits and has room now, in the order in which it came. */
  private grantWaiters(): void {
    for (let index = 0; index < this.waiters.length;) {
      const { hold, bytes, onGranted } = this.waiters[index];
      if (!this.hasRoom(hold, bytes)) {
        index++;
        continue;
      }
      this.waiters.splice(index, 1);
      this.grant(hold, bytes);
      onGranted();
    }
  }

  private scheduleCheck(): void {
    if (this.isChecking) return;
    this.isChecking = true;
    this.clock.setTimer(this.options.patienceMs * CHECK_RATIO, this.check.bind(this));
  }

  /** Has others give way to what has waited for long. */
  private check(): void {
    this.isChecking = false;
    const waitedSince = this.now() - this.options.patienceMs;
    for (const waiter of [...this.waiters]) {
      if (waiter.since > waitedSince) break;
      while (this.waiters.includes(waiter)) if (!this.evictCostliest(waiter.hold)) break;
    }
    if (this.waiters.length > 0) this.scheduleCheck();
  }

  /** Gives up the holder that has cost most, among those that have got nowhere for a while; false where there is none. */
  private evictCostliest(except: MemoryHold | undefined): boolean {
    const now = this.now();
    let costliest: MemoryHold | undefined;
    let highestCost = -1;
    for (const hold of this.holds) {
      if (hold === except || hold.stalledMs(now) < this.options.patienceMs) continue;
      const cost = hold.cost(now);
      if (cost <= highestCost || !hold.holder.isEvictable()) continue;
      costliest = hold;
      highestCost = cost;
    }
    if (!costliest) return false;
    this.evicted++;
    costliest.noteProgress();
    costliest.holder.evict();
    this.pressureListener?.();
    return true;
  }
}
