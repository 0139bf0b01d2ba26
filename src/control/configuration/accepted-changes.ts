/**
 * The orders that were accepted last: by them one that is sent again is recognized, and answered as the first time. The
 * stored fields are `taken`, `base` and `sum`.
 */

import { DeploymentValue, StoredOrder } from '../../shared/state/deployment';

/**
 * How many accepted orders are kept, so that one that is sent again is recognized. A caller that
 * got no clear answer backs off for seconds between its attempts: at ten changes a second this
 * reaches back over 100 s. An entry takes about 50 bytes, so that the list stays below 64 KiB.
 */
export const MAX_ACCEPTED_CHANGES = 1024;

/** How many orders were kept by releases that did not store their bases. */
const MAX_ACCEPTED_WITHOUT_BASE = 32;

/** An order that was accepted: the revision it built on, its own, and the hash of its path and body. */
export interface AcceptedChange extends StoredOrder {
  base: number;
}

/**
 * Reads the orders that were accepted last, oldest first. Each one builds on the revision of the one
 * before it, which gives the bases that earlier releases did not store. The first order of such a
 * list builds on 0 if the list is complete; otherwise its base is not known, and it is left out.
 */
export function readAcceptedChanges(value: DeploymentValue | undefined): AcceptedChange[] {
  const stored = value?.taken ?? [];
  const orders: AcceptedChange[] = [];
  let baseBefore = stored.length < MAX_ACCEPTED_WITHOUT_BASE ? 0 : undefined;
  for (const order of stored) {
    const base = order.base ?? baseBefore;
    if (base !== undefined) orders.push({ revision: order.revision, base, sum: order.sum });
    baseBefore = order.revision;
  }
  return orders;
}

/** Whether this very order is among those that were accepted. Its hash alone does not identify it: the same body may be sent on another base. */
export function isAccepted(orders: AcceptedChange[], base: number, sum: string): boolean {
  function isSame(order: AcceptedChange): boolean {
    return order.sum === sum && order.base === base;
  }
  return orders.some(isSame);
}

/** Whether an order builds on less than the oldest one that is remembered. */
export function isOlderThanHistory(orders: AcceptedChange[], base: number): boolean {
  return orders.length > 0 && base < orders[0].base;
}

/**
 * Whether a valid order may be one that was accepted and is no longer remembered. The base of the
 * oldest remembered order was the revision of the one before it, so that no forgotten order has a
 * higher revision.
 */
export function mayBeEvicted(orders: AcceptedChange[], base: number, revision: number): boolean {
  return isOlderThanHistory(orders, base) && base < revision && revision <= orders[0].base;
}

/** Adds an order at the end; the oldest ones are evicted. */
export function recordAccepted(orders: AcceptedChange[], order: AcceptedChange): AcceptedChange[] {
  return [...orders, order].slice(-MAX_ACCEPTED_CHANGES);
}
