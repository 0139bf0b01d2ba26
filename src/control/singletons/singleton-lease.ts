/**
 * A singleton role that one controller at a time holds, by a lease with a fencing token.
 */

import { errorOrValue } from '../../shared/errors/errors';
import { rankByRendezvousHash } from '../../shared/util/hashing';
import { Ports } from '../../shared/ports/ports';
import { CONTROL_KEYS } from '../../shared/state/control-keys';
import { Controller } from '../controller-interface';
import { SingletonHolder } from '../configuration/singleton-holder';

/** Of the time after which another may take the role, the ratio for which the last confirmation keeps it safe. */
const SAFE_RATIO = 0.3;

/** A role that one controller at a time holds: a lease of the last holder has expired before the next one acts. */
export interface SingletonLease {
  /** Notes what is known of the role by now; called often, so that the time of each change is known. */
  observe: () => void;
  /** The fencing token, where this node holds the role and a majority confirmed it just now; acquires the role where it is free. Nothing where another holds it, or this node leaves. `waitedMs` is how long the role's work has waited. */
  acquireFencingToken: (waitedMs: number) => Promise<number | undefined>;
  /** Whether the fencing token may still be acted under, at this very moment. */
  isFresh: () => boolean;
  /** Whether the last confirmation is recent enough that no other may soon take the role as free. */
  isSafeFromTakeover: () => boolean;
}

/**
 * Holds a role for this node's life. A change of the role's register stands for every sign of its holder: each
 * confirmation commits a new number, and only one who has seen the newest number for longer than a lease, and what a
 * confirmation allows beside it, may take the role.
 */
class RegisterLease implements SingletonLease {
  private readonly key: string;
  /** The newest number of the role's register, and when it was first seen, in ms of the clock. */
  private lastSeen = { number: -1, at: 0 };
  /** When the last confirmation was asked for, in ms of the clock. */
  private confirmedAt = -Infinity;
  private fencingToken: number | undefined;
  private confirming: Promise<number | undefined> | undefined;

  constructor(
    private readonly controller: Controller,
    private readonly ports: Ports,
    private readonly role: string,
  ) {
    this.key = CONTROL_KEYS.duty + role;
  }

  observe(): void {
    const number = this.controller.committedValue<SingletonHolder>(this.key)?.place.number ?? 0;
    if (number !== this.lastSeen.number) this.lastSeen = { number, at: this.ports.clock.now() };
  }

  isFresh(): boolean {
    return this.sinceConfirmedMs() <= this.controller.timeLimits.singletonFreshMs;
  }

  isSafeFromTakeover(): boolean {
    const { singletonTakeoverMs } = this.controller.timeLimits;
    return this.sinceConfirmedMs() <= singletonTakeoverMs * SAFE_RATIO;
  }

  async acquireFencingToken(waitedMs: number): Promise<number | undefined> {
    if (this.controller.isSelfLeaving()) return undefined;
    if (this.isFresh()) return this.fencingToken;
    if (!this.confirming) {
      this.confirming = this.confirm(waitedMs);
      void this.confirming.then(this.endConfirm.bind(this));
    }
    return this.confirming;
  }

  private endConfirm(): void {
    this.confirming = undefined;
  }

  private sinceConfirmedMs(): number {
    return this.ports.clock.now() - this.confirmedAt;
  }

  /** Confirms the role, or acquires it where this node is the one to take it. */
  private async confirm(waitedMs: number): Promise<number | undefined> {
    const { controller, ports, role } = this;
    this.observe();
    const known = controller.committedValue<SingletonHolder>(this.key)?.value;
    const isHeldHere = known?.holder === controller.ownerId;
    if (!isHeldHere && !this.isNextHolder(known, waitedMs)) return undefined;
    const askedAt = ports.clock.now();
    const [error, result] = errorOrValue(
      await controller.change({
        kind: 'duty',
        duty: role,
        holder: controller.ownerId,
        at: controller.settings.wire,
        basedOn: isHeldHere ? undefined : this.lastSeen.number,
      }),
    );
    if (error) {
      ports.logger.info(
        { event: 'singleton.renewal-failed', step: error.step, peer: error.peer },
        error.reason,
      );
      return undefined;
    }
    if (result.duty?.holder !== controller.ownerId) return undefined;
    this.confirmedAt = askedAt;
    this.fencingToken = result.duty.fence;
    return this.fencingToken;
  }

  /** Whether this node is the one to take the role: its holder is gone, or has left work undone for long. */
  private isNextHolder(known: SingletonHolder | undefined, waitedMs: number): boolean {
    const { liveAddresses, settings, timeLimits } = this.controller;
    const holderAddress = known?.at;
    if (!holderAddress) return this.isFirstOf(liveAddresses());
    const unchangedMs = this.ports.clock.now() - this.lastSeen.at;
    if (unchangedMs < timeLimits.singletonTakeoverMs) return false;
    if (holderAddress === settings.wire) return true;
    const isHolderLive = liveAddresses().includes(holderAddress);
    if (isHolderLive && waitedMs < timeLimits.singletonTakeoverMs) return false;
    function isOther(address: string): boolean {
      return address !== holderAddress;
    }
    return this.isFirstOf(liveAddresses().filter(isOther));
  }

  private isFirstOf(addresses: string[]): boolean {
    return rankByRendezvousHash(this.key, addresses)[0] === this.controller.settings.wire;
  }
}

/** Makes this node's side of a singleton role. */
export function makeSingletonLease(
  controller: Controller,
  ports: Ports,
  role: string,
): SingletonLease {
  return new RegisterLease(controller, ports, role);
}
