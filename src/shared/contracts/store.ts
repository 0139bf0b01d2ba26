import { Outcome } from '../errors/errors';
import { Wire } from '../ports/ports';
import { EventsAnswer, pullEvents } from './engine';

/** Pulls the store's events: the store tells of its parts as engines do. */
export function pullStoreEvents(
  wire: Wire,
  at: string,
  epoch: string,
  after: number,
  wait: number,
  gone: AbortSignal,
): Promise<Outcome<EventsAnswer>> {
  return pullEvents(wire, at, epoch, after, wait, gone);
}
