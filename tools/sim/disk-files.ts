/**
 * Disks in memory: ports of a process of its own world, whose disk holds given files.
 */

import { Right } from 'purify-ts';
import { Result } from '../../src/shared/errors/errors';
import { Ports } from '../../src/shared/ports/ports';
import { seededDice } from './dice';
import { makeNet } from './simwire';
import { makeWorld } from './simworld';

/** The files of a disk, by name. */
export type DiskFiles = Map<string, Uint8Array>;

/** Ports of a process whose disk holds these files, and whose random numbers come from the seed. */
export function portsOfFiles(files: DiskFiles, seed: number): Ports {
  const world = makeWorld(1, false);
  const base = makeNet(world).ports(world.proc('node', '127.10.1.1'));
  function read(name: string): Promise<Result<Uint8Array | undefined>> {
    return Promise.resolve(Right(files.get(name)));
  }
  function write(name: string, bytes: Uint8Array): Promise<Result<void>> {
    files.set(name, Uint8Array.from(bytes));
    return Promise.resolve(Right(undefined));
  }
  function append(name: string, bytes: Uint8Array): Promise<Result<void>> {
    files.set(name, Buffer.concat([files.get(name) ?? new Uint8Array(0), bytes]));
    return Promise.resolve(Right(undefined));
  }
  return { ...base, random: seededDice(seed), disk: { read, write, append } };
}
