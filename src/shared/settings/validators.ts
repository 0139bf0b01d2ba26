/**
 * Formats of fields, as the settings library and the checks of intents call them: each throws what is wrong with a value.
 */

import { isPlainObject } from '../util/plain-object';

const IP = /^(\d{1,3}\.){3}\d{1,3}$/;
const ADDRESS = /^(\d{1,3}\.){3}\d{1,3}:\d{1,5}$/;

/** An ip:port, or nothing. */
export function address(value: unknown): void {
  if (typeof value !== 'string' || (value !== '' && !ADDRESS.test(value)))
    reject('must be ip:port with an IP number');
}

/** A list of ip:port. */
export function addresses(value: unknown): void {
  if (!Array.isArray(value)) reject('must be a list of ip:port');
  (value as unknown[]).forEach(address);
}

/** An IP number, or nothing. */
export function ipOrNone(value: unknown): void {
  if (typeof value !== 'string' || (value !== '' && !IP.test(value)))
    reject('must be an IP number');
}

/** A number above 0. */
export function positive(value: unknown): void {
  if (typeof value !== 'number' || !(value > 0)) reject('must be a number above 0');
}

/** A number of 0 or above. */
export function notNegative(value: unknown): void {
  if (typeof value !== 'number' || !(value >= 0)) reject('must be a number of 0 or above');
}

/** The region of each zone, by name. */
export function regions(value: unknown): void {
  if (!isPlainObject(value)) reject('must hold a region for each zone');
  for (const region of Object.values(value))
    if (typeof region !== 'string') reject('must hold a region for each zone');
}

/** A share that stays under a fifth. */
export function share(value: unknown): void {
  if (typeof value !== 'number' || !(value >= 0 && value <= 0.2))
    reject('must be between 0 and 0.2');
}

function reject(reason: string): never {
  throw new Error(reason);
}

/** An ip:port that must be there. */
export function neededAddress(value: unknown): void {
  if (typeof value !== 'string' || !ADDRESS.test(value))
    reject('must be ip:port with an IP number');
}

/** Whether text is a name. */
export function isId(value: unknown): value is string {
  return typeof value === 'string' && /^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$/.test(value);
}

/** A name of up to 64 letters, digits, dots, dashes and underscores. */
export function id(value: unknown): void {
  if (!isId(value)) reject('must be a name of letters, digits, dots, dashes and underscores');
}

/** A name, or nothing. */
export function maybeId(value: unknown): void {
  if (value !== '') id(value);
}

/** A whole number above 0. */
export function whole(value: unknown): void {
  if (!Number.isInteger(value) || (value as number) <= 0) reject('must be a whole number above 0');
}
