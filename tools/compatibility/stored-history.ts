/**
 * Histories of operators' calls at a simulated fleet, as `plumhollow history check` reads them.
 */

import { spawnSync } from 'node:child_process';
import { join } from 'node:path';
import { makeHistoryRecorder, RecordedCall } from '../history/record';
import { asked, isFounded, until, votersOf } from '../sim/simcore';
import { simIntents } from '../sim/simfleet';
import { makeRecordedFleet } from './stored-disks';

/** What the program says of a history. */
export interface HistoryVerdict {
  status: number | null;
  text: string;
}

const SEED = 63;
const CHANGES = 6;
const PATIENCE_MS = 20000;
const CONFLICT = 409;

/** Calls of two operators, of whom the second often builds on a revision that stands no more. */
async function recordCalls(): Promise<RecordedCall[]> {
  const fleet = makeRecordedFleet(SEED);
  fleet.startAll();
  function isUp(): boolean {
    return votersOf(fleet) === '1 2 3' && isFounded(fleet);
  }
  await until(fleet, PATIENCE_MS, isUp);
  const calls: RecordedCall[] = [];

  async function read(client: string): Promise<number> {
    const start = fleet.w.now();
    const { body } = await asked(fleet, 'GET', '/v1/intents');
    const revision = Number(body.revision);
    const order = `read ${calls.length}`;
    const end = fleet.w.now();
    calls.push({
      key: 'intents',
      kind: 'read',
      client,
      order,
      start,
      end,
      answer: 'ok',
      base: 0,
      revision,
    });
    return revision;
  }

  async function replace(client: string, base: number): Promise<void> {
    const start = fleet.w.now();
    const intents = simIntents(fleet.d, 'probe-3', calls.length, []);
    const { status } = await asked(fleet, 'PUT', '/v1/intents', { basedOn: base, intents });
    const call = {
      key: 'intents',
      kind: 'replace',
      client,
      order: `change ${calls.length}`,
    } as const;
    const times = { start, end: fleet.w.now(), base, revision: base + 1 };
    if (status === CONFLICT)
      calls.push({ ...call, ...times, answer: 'refused', reason: 'conflict' });
    else calls.push({ ...call, ...times, answer: 'ok' });
  }

  for (let i = 0; i < CHANGES; i++) {
    const revision = await read('operator-1');
    await replace('operator-1', revision);
    await replace('operator-2', i % 2 === 0 ? revision : revision + 1);
  }
  await read('operator-2');
  return calls;
}

function textOf(calls: RecordedCall[]): string {
  const recorder = makeHistoryRecorder();
  for (const call of calls) recorder.record(call);
  return recorder.text();
}

/** Histories by the names of their files: one that is sound with an open call, one that is not linearizable, one that can't be read. */
export async function recordHistories(): Promise<Map<string, string>> {
  const calls = await recordCalls();
  const last = calls[calls.length - 1];
  const after = { start: last.end + 10, end: last.end + 20 };
  const open: RecordedCall = {
    ...calls[1],
    order: 'open',
    start: last.start,
    end: Infinity,
    answer: 'unknown',
    base: last.revision,
    revision: last.revision + 1,
  };
  const stale: RecordedCall = { ...last, ...after, order: 'stale', revision: 1 };
  return new Map([
    ['sound.jsonl', textOf([...calls, open])],
    ['stale-read.jsonl', textOf([...calls, stale])],
    ['unreadable.jsonl', textOf(calls.slice(0, 3)).replace('"answer"', '"reply"')],
  ]);
}

/** Has the program judge a history. */
export function judgeHistory(file: string): HistoryVerdict {
  const program = join(__dirname, '../../src/programs/plumhollow.js');
  const run = spawnSync(process.execPath, [program, 'history', 'check', file], {
    encoding: 'utf8',
  });
  return { status: run.status, text: run.stdout };
}
