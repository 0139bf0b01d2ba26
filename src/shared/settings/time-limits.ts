/**
 * Time limits of a process, each derived from the bounds in its settings.
 */

import { Settings } from './settings';

/** Times that follow from the bounds; every constant is a ratio to one. */
export interface Bounds {
  lease: number;
  leaseHeld: number;
  renew: number;
  ask: number;
  dial: number;
  pause: number;
  platform: number;
  effect: number;
  weightsStop: number;
  query: number;
  status: number;
  feedWait: number;
  circuit: number;
  join: number;
  drain: number;
  orderFresh: number;
  leavingCut: number;
  /** A node that has lacked a change for longer is logged. */
  lagLogged: number;
  /** How long it is remembered that an engine is heard to leave, where lists show it serving. */
  leavingAdvice: number;
  feedHold: number;
  gather: number;
  coming: number;
  loadsSilent: number;
  repairTurn: number;
  repairEach: number;
  joinSoon: number;
  /** Whoever is asked to make a change in another's place waits this long for it. */
  handOver: number;
  /** An owner that tells that it works on an order is waited for so much longer. */
  orderUnderWay: number;
  /**
   * A voter that is unreachable for this long gives way to a machine that is here. What follows takes up to
   * `leaseHeld`, until no router goes by the old set alone, and must be over `catchUpMs` after that machine's start.
   */
  lost: number;
  /** A newcomer that replaces a lost disk is waited for this long. */
  repair: number;
  /** A controller that was told to end stays this long at the most. */
  leave: number;
  /** It answers the calls that it has taken within this, after that. */
  lastCalls: number;
  /** A majority of the founders waits this long for the rest, where it may found. */
  foundWait: number;
  /** A taken connection that is silent for this long is closed. */
  silence: number;
  /** How long a duty's holder may act on what a majority confirmed. */
  termFresh: number;
  /** How long a duty stands still before another may take it: a lease, and what its last holder may still have on its way. */
  termFree: number;
  /** The longest that an order to an engine is on its way. */
  order: number;
  /** How long an engine may take over new weights until it is looked at anew. */
  loadMost: number;
  /** What an engine needs for new weights, before that was seen. */
  loadGuess: number;
  /** How old an engine's report may be. */
  reportAge: number;
  /** All engines have new weights within this. */
  rollOut: number;
}

/** Derives the times from the bounds. */
export function boundsOf(s: Settings): Bounds {
  const lease = s.changeBoundMs * 0.7;
  return {
    lease,
    leaseHeld: lease * 1.1,
    renew: lease * 0.2,
    ask: s.changeBoundMs * 0.35,
    dial: s.changeBoundMs * 0.2,
    pause: s.changeBoundMs * 0.1,
    platform: s.leavingBoundMs * (s.strict ? 0.12 : 0.2),
    effect: s.changeBoundMs * 0.95,
    weightsStop: s.weightsBoundMs * 0.75,
    query: s.changeBoundMs * 0.025,
    status: s.leavingBoundMs * 0.1,
    feedWait: s.leavingBoundMs * 3,
    circuit: s.leavingBoundMs * 0.5,
    join: s.changeBoundMs * 0.5,
    drain: s.graceMs * 0.8,
    orderFresh: lease * 0.2,
    leavingCut: s.leavingBoundMs * 0.4,
    lagLogged: s.changeBoundMs * 0.5,
    leavingAdvice: s.leavingBoundMs,
    feedHold: s.changeBoundMs * 0.5,
    gather: s.leavingBoundMs * 0.1,
    coming: s.changeBoundMs * 0.75,
    loadsSilent: s.contactMs * 0.3,
    repairTurn: s.changeBoundMs * 0.2,
    repairEach: s.changeBoundMs * 5,
    joinSoon: s.changeBoundMs * 0.15,
    handOver: s.ackMs * 0.1,
    orderUnderWay: s.ackMs * 0.35,
    lost: s.catchUpMs * 0.25,
    repair: s.catchUpMs * 0.5,
    leave: s.graceMs * 0.75,
    lastCalls: s.graceMs * 0.15,
    foundWait: s.contactMs * 0.25,
    silence: s.contactMs,
    termFresh: s.leaseMs * 0.05,
    termFree: s.leaseMs * 1.2,
    order: s.leaseMs * 0.1,
    loadMost: s.weightsBoundMs * 0.4,
    loadGuess: s.weightsBoundMs * 0.1,
    reportAge: s.weightsBoundMs * 0.04,
    rollOut: s.weightsBoundMs * 0.6,
  };
}
