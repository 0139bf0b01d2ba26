import { ChildProcess } from 'node:child_process';
import { Crowd } from '../../tools/standins/crowd/crowd';
import { CrowdFormName } from '../../tools/standins/crowd/forms';
import { CrowdFleet } from './crowd-fleet';

const LIMITS = { memoryMb: 200, maxOpenFiles: 1024 };
const CLIENTS = 40;
const ORDINARY = 10;
const SMALL_BYTES = 200;
const MS_PER_S = 1000;

let fleet: CrowdFleet;
let crowd: Crowd | undefined;

async function start(): Promise<void> {
  fleet = await CrowdFleet.start(LIMITS);
}

function stop(): Promise<void> {
  crowd?.close();
  return fleet.stop();
}

/** Ends a process as the platform does: SIGTERM, and SIGKILL after the grace; its exit code, and the signal that ended it. */
function terminate(child: ChildProcess, graceMs: number): Promise<[number | null, string | null]> {
  function run(resolve: (end: [number | null, string | null]) => void): void {
    function kill(): void {
      child.kill('SIGKILL');
    }
    const timer = setTimeout(kill, graceMs);
    function onExit(code: number | null, signal: string | null): void {
      clearTimeout(timer);
      resolve([code, signal]);
    }
    child.once('exit', onExit);
    child.kill('SIGTERM');
  }
  return new Promise(run);
}

async function drained(form: CrowdFormName): Promise<void> {
  crowd = new Crowd(form, fleet.routerTarget(), CLIENTS);
  await crowd.inPlace();
  const ask = fleet.callerRequest(SMALL_BYTES);
  const asked: Promise<boolean>[] = [];
  for (let count = 0; count < ORDINARY; count++) asked.push(ask());
  const child = fleet.processOf('router');
  const end = terminate(child, fleet.site.bounds.graceS * MS_PER_S);
  expect(await Promise.all(asked)).toEqual(new Array<boolean>(ORDINARY).fill(true));
  expect(await end).toEqual([0, null]);
  expect(fleet.refusedButRun(crowd.answers())).toEqual([]);
}

beforeEach(start);
afterEach(stop);

/** Guards against issue 65: a router that leaves while a crowd is there ends in time, and answers what it took. */
test.each<CrowdFormName>([
  'chunks of one byte, one a write',
  'large chunks that trickle on',
  'heads that stop',
  'pipelined requests, unread',
])('a router drains beside a crowd: %s', drained);
