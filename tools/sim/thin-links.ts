import { pack } from 'msgpackr';
import { Message } from '../../src/shared/ports/network';

/** Machines' links of limited bandwidth. */
export interface ThinLinks {
  /** How long a message takes from machine to machine beside the latency, behind what was sent before it. */
  delay: (from: string, to: string, message: Message) => number;
  /** Bytes that a machine has received. */
  received: (ip: string) => number;
}

/** Bytes of headers around each message. */
const OVERHEAD_BYTES = 60;
const BITS_PER_BYTE = 8;
const KILO = 1000;

/** Makes links; `megabitsOf` gives the bandwidth of each machine's link, the same in both directions. */
export function makeThinLinks(now: () => number, megabitsOf: (ip: string) => number): ThinLinks {
  const outUntil = new Map<string, number>();
  const inUntil = new Map<string, number>();
  const receivedBytes = new Map<string, number>();
  const sizes = new WeakMap<object, number>();

  function sizeOf(message: Message): number {
    const body = message.body;
    if (typeof body !== 'object' || body === null) return pack(message).length;
    const known = sizes.get(body) ?? pack(body).length;
    sizes.set(body, known);
    return known;
  }

  /** When a link has carried some bytes that it could begin with at a moment. */
  function carried(until: Map<string, number>, ip: string, bytes: number, from: number): number {
    const start = Math.max(from, until.get(ip) ?? 0);
    const end = start + (bytes * BITS_PER_BYTE) / (megabitsOf(ip) * KILO);
    until.set(ip, end);
    return end;
  }

  function delay(from: string, to: string, message: Message): number {
    const bytes = sizeOf(message) + OVERHEAD_BYTES;
    receivedBytes.set(to, (receivedBytes.get(to) ?? 0) + bytes);
    const sent = carried(outUntil, from, bytes, now());
    return carried(inUntil, to, bytes, sent) - now();
  }

  function received(ip: string): number {
    return receivedBytes.get(ip) ?? 0;
  }

  return { delay, received };
}
