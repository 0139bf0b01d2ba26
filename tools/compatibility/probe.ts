/**
 * A process that asks one of ours over a connection of its own, and what has it run in virtual time.
 */

import { requestOnce } from '../../src/shared/transport/peer-channel';
import { Hello, PROTOCOL_VERSION } from '../../src/shared/transport/hello';
import { Result } from '../../src/shared/errors/errors';
import { Ports } from '../../src/shared/ports/ports';
import { SimNet } from '../sim/simwire';
import { World } from '../sim/simworld';

/** How long a probe waits for an answer. */
const WITHIN_MS = 2000;
/** Virtual time runs on in steps while something is waited for. */
const STEP_MS = 5;
const MOST_MS = 30000;

/** Asks processes at their addresses. */
export interface Probe {
  ports: Ports;
  hello: Hello;
  ask: (at: string, type: string, body: unknown) => Promise<Result<unknown>>;
}

/** Runs virtual time on until a promise is settled. */
export async function settled<T>(world: World, promise: Promise<T>): Promise<T> {
  const until = world.now() + MOST_MS;
  let isOver = false;
  function over(): void {
    isOver = true;
  }
  void promise.then(over, over);
  while (!isOver && world.now() < until) await world.run(world.now() + STEP_MS);
  if (!isOver) throw new Error('nothing came back in time');
  return promise;
}

/** Makes a probe on a machine of its own. */
export function makeProbe(
  world: World,
  net: SimNet,
  ip: string,
  version = PROTOCOL_VERSION,
): Probe {
  const name = `probe-${ip}`;
  const ports = net.ports(world.proc(name, ip));
  const hello: Hello = { version, name, role: 'router', at: `${ip}:7000`, zone: 'z' };
  function ask(at: string, type: string, body: unknown): Promise<Result<unknown>> {
    return settled(world, requestOnce(ports, hello, [], at, type, body, WITHIN_MS));
  }
  return { ports, hello, ask };
}
