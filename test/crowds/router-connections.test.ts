import { CrowdFormName } from '../../tools/standins/crowd/forms';
import { CrowdFleet, playCrowd } from './crowd-fleet';

/** More connections than a process has descriptors; 200 of these are kept for files, as the platform does. */
const LIMITS = { memoryMb: 200, maxOpenFiles: 500 };
const CLIENTS = 600;
const PIPELINING_CLIENTS = 60;
const SMALL_BYTES = 200;

let fleet: CrowdFleet;

async function start(): Promise<void> {
  fleet = await CrowdFleet.start(LIMITS);
}

function stop(): Promise<void> {
  return fleet.stop();
}

function crowd(form: CrowdFormName, clients: number): Promise<void> {
  const ordinary = [fleet.callerRequest(SMALL_BYTES)];
  const target = fleet.routerTarget();
  return playCrowd(fleet, { form, clients, role: 'router', target, ordinary });
}

/** Strangers ask a router whether it is ready, and send it bodies with that. */
function readinessCrowd(form: CrowdFormName, clients: number): Promise<void> {
  const target = {
    ...fleet.routerTarget(),
    at: fleet.address('router', 'readiness'),
    path: '/api/readiness',
  };
  const ordinary = [fleet.callerRequest(SMALL_BYTES)];
  return playCrowd(fleet, { form, clients, role: 'router', target, ordinary });
}

beforeEach(start);
afterEach(stop);

/** Guards against issue 65: connections of strangers took a router's descriptors, memory and time. */
test.each<[CrowdFormName, number]>([
  ['connections that send nothing', CLIENTS],
  ['heads that stop', CLIENTS],
  ['endless heads', CLIENTS],
  ['pipelined requests, unread', PIPELINING_CLIENTS],
])('a router bears connections: %s', crowd);

test.each<[CrowdFormName, number]>([
  ['connections that send nothing', CLIENTS],
  ['without an end', PIPELINING_CLIENTS],
  ['chunks of one byte, many to a packet', PIPELINING_CLIENTS],
  ['pipelined requests, unread', PIPELINING_CLIENTS],
])('the listener of readiness bears: %s', readinessCrowd);
