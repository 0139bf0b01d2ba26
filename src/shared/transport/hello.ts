/**
 * The handshake message: what a process says of itself first on a connection, and how a peer's is checked.
 */

import { Right } from 'purify-ts';
import { failure, Result } from '../errors/errors';
import { Settings } from '../settings/settings';

/** The version of the messages between our own processes. */
export const PROTOCOL_VERSION = 1;

/** How many versions a peer may be away from ours: during a rolling upgrade it is of the release before or after. */
const MAX_VERSION_DISTANCE = 1;

/** The handshake message. */
export interface Hello {
  version: number;
  name: string;
  role: string;
  /** The address (`ip:port`) at which the process listens for our own processes. */
  at: string;
  zone: string;
  /** The id of a controller's disk. */
  disk?: string;
}

/** The handshake message of a process with a role; a controller names its disk. */
export function helloOf(settings: Settings, role: string, disk?: string): Hello {
  const { name, wire, zone } = settings;
  const hello: Hello = { version: PROTOCOL_VERSION, name, role, at: wire, zone };
  return disk === undefined ? hello : { ...hello, disk };
}

/** Reads a peer's handshake message. Errors: `bad-hello` (it is none), `wire-version` (its version is too far from ours). */
export function checkHello(body: unknown, peer: string): Result<Hello> {
  const hello = body as Hello | undefined;
  if (!hello || typeof hello.version !== 'number')
    return failure('hello', peer, 'no hello', 'refused', 'bad-hello');
  if (Math.abs(hello.version - PROTOCOL_VERSION) > MAX_VERSION_DISTANCE) {
    const reason = `wire version ${hello.version} is too far from ${PROTOCOL_VERSION}`;
    return failure('hello', peer, reason, 'refused', 'wire-version');
  }
  return Right(hello);
}
