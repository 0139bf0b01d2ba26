import { Result } from '../errors/errors';
import { Network } from '../ports/network';
import { EventsReply, pullEvents } from './engine';

/** Pulls the store's events: the store tells of its parts as engines do. */
export function pullStoreEvents(
  wire: Network,
  at: string,
  epoch: string,
  after: number,
  wait: number,
  gone: AbortSignal,
): Promise<Result<EventsReply>> {
  return pullEvents(wire, at, epoch, after, wait, gone);
}
