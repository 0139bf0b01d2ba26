/**
 * A dump that one replica of an indexer gives to another, which may be of the next version.
 */

import { Right } from 'purify-ts';
import { unpack } from 'msgpackr';
import { HandlerResult, messageHandler } from '../../src/shared/transport/message-handlers';
import { makeScene, PROMPT, SALT, Scene } from '../sim/feedscene';

/** What a replica tells of a prompt that was in the dump, and of one that was not. */
export interface DumpReading {
  prompt: Record<string, [number, number]>;
  other: Record<string, [number, number]>;
}

type Prompt = typeof PROMPT;

/** As many parts as the recorded prompt has, so that both are told in as many events. */
const OTHER: Prompt = [
  ['x', 80],
  ['y', 40],
  ['z', 25],
];
const GATHERED_MS = 500;
const JOINED_MS = 4000;
const ENGINES = 2;

/** Answers as a replica that holds what was recorded. */
class RecordedReplica {
  constructor(private readonly dump: unknown) {}

  /** Gives the recorded dump. */
  @messageHandler('dump-rows')
  dumpRows(): HandlerResult {
    return Promise.resolve(Right(this.dump));
  }
}

async function makeScenePast(prompt: Prompt): Promise<Scene> {
  const scene = await makeScene(ENGINES, 1);
  for (const source of scene.sources.values())
    for (const [hash, size] of prompt) source.keep(SALT, hash, size);
  await scene.pass(GATHERED_MS);
  scene.sources.get('engine-1')!.keep(SALT, prompt[2][0], 0);
  await scene.pass(GATHERED_MS);
  return scene;
}

/** Gives a dump as a replica tells it. */
export async function recordDump(): Promise<unknown> {
  return (await makeScenePast(PROMPT)).indexers[0].dumpRows();
}

/** Starts a replica beside one that gives the packed dump, and reads what it has taken over. */
export async function readDump(packed: Uint8Array): Promise<DumpReading> {
  const scene = await makeScenePast(OTHER);
  scene.indexers[0].handlers.unshift(new RecordedReplica(unpack(packed)));
  await scene.start(1);
  await scene.pass(JOINED_MS);
  return { prompt: scene.told(1), other: scene.told(1, OTHER) };
}
