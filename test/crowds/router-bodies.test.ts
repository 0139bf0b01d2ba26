import { CrowdFormName } from '../../tools/standins/crowd/forms';
import { CrowdFleet, playCrowd } from './crowd-fleet';

/** A process may use less than the users' machines give it, so that a small crowd is enough. */
const LIMITS = { memoryMb: 200, maxOpenFiles: 1024 };
const CLIENTS = 60;
const SMALL_BYTES = 200;
const LARGE_BYTES = 1 << 20;

let fleet: CrowdFleet;

async function start(): Promise<void> {
  fleet = await CrowdFleet.start(LIMITS);
}

function stop(): Promise<void> {
  return fleet.stop();
}

function bodies(form: CrowdFormName): Promise<void> {
  const ordinary = [fleet.callerRequest(SMALL_BYTES), fleet.callerRequest(LARGE_BYTES)];
  const target = fleet.routerTarget();
  return playCrowd(fleet, { form, clients: CLIENTS, role: 'router', target, ordinary });
}

beforeEach(start);
afterEach(stop);

/** Guards against issue 65: bodies of strangers ended a router. */
test.each<CrowdFormName>([
  'large chunks that stop short',
  'large chunks that trickle on',
  'chunks of one byte, many to a packet',
  'chunks of one byte, one a write',
  'announced far over the limit',
  'without an end',
  'announced, but for the last byte',
  'long chunk extensions',
  'endless trailers',
])('a router bears bodies: %s', bodies);
