/**
 * The answers that a router gives of its own: rejections of requests that have not run, and faults of those that may
 * have.
 */

import { RawIncomingRequest } from '../../shared/ports/raw-http';

/** Why a request is rejected that has not run and never will. */
export interface Rejection {
  /** The HTTP status. */
  status: number;
  reason: string;
  /** Ms after which it may come again; left out where coming again does not help. */
  retryAfterMs?: number;
}

/** The statuses of requests that may have run: they promise nothing. */
export const BAD_GATEWAY = 502;
export const GATEWAY_TIMEOUT = 504;

function send(
  call: RawIncomingRequest,
  status: number,
  reason: string,
  moreHeaders: string[] = [],
): void {
  const body = Buffer.from(JSON.stringify({ error: reason }) + '\n');
  const headers = ['Content-Type', 'application/json', 'Content-Length', String(body.length)];
  call.writeHead(status, [...headers, ...moreHeaders]);
  call.end(body);
}

/** Answers with a rejection; `Retry-After` is in seconds with three decimals. */
export function sendRejection(call: RawIncomingRequest, rejection: Rejection): void {
  const { status, reason, retryAfterMs } = rejection;
  const retryAfter =
    retryAfterMs === undefined ? [] : ['Retry-After', (retryAfterMs / 1000).toFixed(3)];
  send(call, status, reason, retryAfter);
}

/** Answers that a request was lost which may have run. */
export function sendUncertain(call: RawIncomingRequest, status: number): void {
  send(call, status, 'the engine was lost; the request may have run');
}
