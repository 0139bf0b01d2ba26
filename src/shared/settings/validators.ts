import { isPlainObject } from '../util/plain-object';

const IP = /^(\d{1,3}\.){3}\d{1,3}$/;
const ADDRESS = /^(\d{1,3}\.){3}\d{1,3}:\d{1,5}$/;

/** An ip:port, or nothing. */
export function address(v: unknown): void {
  if (typeof v !== 'string' || (v !== '' && !ADDRESS.test(v)))
    complain('must be ip:port with an IP number');
}

/** A list of ip:port. */
export function addresses(v: unknown): void {
  if (!Array.isArray(v)) complain('must be a list of ip:port');
  (v as unknown[]).forEach(address);
}

/** An IP number, or nothing. */
export function ipOrNone(v: unknown): void {
  if (typeof v !== 'string' || (v !== '' && !IP.test(v))) complain('must be an IP number');
}

/** A number above 0. */
export function positive(v: unknown): void {
  if (typeof v !== 'number' || !(v > 0)) complain('must be a number above 0');
}

/** A number of 0 or above. */
export function notNegative(v: unknown): void {
  if (typeof v !== 'number' || !(v >= 0)) complain('must be a number of 0 or above');
}

/** The region of each zone, by name. */
export function regions(v: unknown): void {
  if (!isPlainObject(v)) complain('must hold a region for each zone');
  for (const r of Object.values(v))
    if (typeof r !== 'string') complain('must hold a region for each zone');
}

/** A share that stays under a fifth. */
export function share(v: unknown): void {
  if (typeof v !== 'number' || !(v >= 0 && v <= 0.2)) complain('must be between 0 and 0.2');
}

function complain(why: string): never {
  throw new Error(why);
}

/** An ip:port that must be there. */
export function neededAddress(v: unknown): void {
  if (typeof v !== 'string' || !ADDRESS.test(v)) complain('must be ip:port with an IP number');
}

/** Whether text is a name. */
export function isId(v: unknown): v is string {
  return typeof v === 'string' && /^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$/.test(v);
}

/** A name of up to 64 letters, digits, dots, dashes and underscores. */
export function id(v: unknown): void {
  if (!isId(v)) complain('must be a name of letters, digits, dots, dashes and underscores');
}

/** A name, or nothing. */
export function maybeId(v: unknown): void {
  if (v !== '') id(v);
}

/** A whole number above 0. */
export function whole(v: unknown): void {
  if (!Number.isInteger(v) || (v as number) <= 0) complain('must be a whole number above 0');
}
