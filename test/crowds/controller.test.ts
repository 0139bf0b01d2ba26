import { CrowdFormName } from '../../tools/standins/crowd/forms';
import { CrowdFleet, playCrowd } from './crowd-fleet';

const LIMITS = { memoryMb: 200, maxOpenFiles: 500 };
const CLIENTS = 60;
const CONNECTIONS = 600;

let fleet: CrowdFleet;

async function start(): Promise<void> {
  fleet = await CrowdFleet.start(LIMITS);
}

function stop(): Promise<void> {
  return fleet.stop();
}

function crowd(form: CrowdFormName, clients: number): Promise<void> {
  const ordinary = [fleet.operatorCalls()];
  const target = fleet.controllerTarget();
  return playCrowd(fleet, { form, clients, role: 'controller', target, ordinary });
}

beforeEach(start);
afterEach(stop);

/** Guards against issue 65: what strangers sent to the operators' interface ended a controller. */
test.each<[CrowdFormName, number]>([
  ['large chunks that stop short', CLIENTS],
  ['large chunks that trickle on', CLIENTS],
  ['chunks of one byte, many to a packet', CLIENTS],
  ['chunks of one byte, one a write', CLIENTS],
  ['announced far over the limit', CLIENTS],
  ['without an end', CLIENTS],
  ['announced, but for the last byte', CLIENTS],
  ['long chunk extensions', CLIENTS],
  ['endless trailers', CLIENTS],
  ['heads that stop', CONNECTIONS],
  ['endless heads', CONNECTIONS],
  ['pipelined requests, unread', CLIENTS],
  ['connections that send nothing', CONNECTIONS],
])('a controller bears: %s', crowd);
