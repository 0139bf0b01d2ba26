/**
 * A singleton role that one controller at a time holds, by a lease with a fencing token.
 */

import { errorOrValue } from '../../shared/errors/errors';
import { rankByRendezvousHash } from '../../shared/util/hashing';
import { Ports } from '../../shared/ports/ports';
import { CONTROL_KEYS } from '../../shared/state/control-keys';
import { Controller } from '../controller-interface';
import { SingletonHolder } from '../configuration/singleton-holder';

/** A duty that one controller at a time holds, by terms that end a whole lease before the next one acts. */
export interface SingletonLease {
  /** Notes what is known of the duty by now; called often, so that the time of each change is known. */
  observe: () => void;
  /** The fence, where this node holds the duty and a majority said so just now; takes the duty where it is free. Nothing where another holds it, or this node leaves. `waitedMs` is how long its work has waited. */
  acquireFencingToken: (waitedMs: number) => Promise<number | undefined>;
  /** Whether the fence may still be acted under, at this very moment. */
  isFresh: () => boolean;
  /** Whether the last confirmation is recent enough that no other may soon take the duty for free. */
  isSafeFromTakeover: () => boolean;
}

/** Holds a duty for this node's life. A change of the duty's register stands for every sign of its holder: each confirmation commits a new number, and only one who has seen the newest number for longer than a lease, and what a confirmation allows beside it, may take the duty. */
export function makeSingletonLease(c: Controller, ports: Ports, duty: string): SingletonLease {
  const key = CONTROL_KEYS.duty + duty;
  const { clock } = ports;
  let seen = { number: -1, at: 0 };
  let asked = -Infinity;
  let held: number | undefined;
  let asking: Promise<number | undefined> | undefined;

  function watch(): void {
    const number = c.committedValue<SingletonHolder>(key)?.place.number ?? 0;
    if (number !== seen.number) seen = { number, at: clock.now() };
  }

  function fresh(): boolean {
    return clock.now() - asked <= c.timeLimits.singletonFreshMs;
  }

  function lasts(): boolean {
    return clock.now() - asked <= c.timeLimits.singletonTakeoverMs * 0.3;
  }

  /** Whether this node is the one to take the duty: its holder is gone, or leaves work undone for long. */
  function isNext(v: SingletonHolder | undefined, waitedMs: number): boolean {
    const { liveAddresses: live, settings, timeLimits: bounds } = c;
    if (!v?.at) return rankByRendezvousHash(key, live())[0] === settings.wire;
    const still = clock.now() - seen.at;
    if (still < bounds.singletonTakeoverMs) return false;
    if (v.at === settings.wire) return true;
    if (live().includes(v.at) && waitedMs < bounds.singletonTakeoverMs) return false;
    return rankByRendezvousHash(key, live().filter(isOther))[0] === settings.wire;
    function isOther(at: string): boolean {
      return at !== v!.at;
    }
  }

  async function ask(waitedMs: number): Promise<number | undefined> {
    watch();
    const v = c.committedValue<SingletonHolder>(key)?.value;
    const mine = v?.holder === c.ownerId;
    if (!mine && !isNext(v, waitedMs)) return undefined;
    const sent = clock.now();
    const [f, r] = errorOrValue(
      await c.change({
        kind: 'duty',
        duty,
        holder: c.ownerId,
        at: c.settings.wire,
        basedOn: mine ? undefined : seen.number,
      }),
    );
    if (f) {
      ports.logger.info({ step: f.step, peer: f.peer }, f.reason);
      return undefined;
    }
    const now = r.duty;
    if (now?.holder !== c.ownerId) return undefined;
    asked = sent;
    held = now.fence;
    return held;
  }

  async function fence(waitedMs: number): Promise<number | undefined> {
    function over(): void {
      asking = undefined;
    }
    if (c.isSelfLeaving()) return undefined;
    if (fresh()) return held;
    if (!asking) {
      asking = ask(waitedMs);
      void asking.then(over);
    }
    return asking;
  }

  return { observe: watch, acquireFencingToken: fence, isFresh: fresh, isSafeFromTakeover: lasts };
}
