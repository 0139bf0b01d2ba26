import { CrowdFormName } from '../../tools/standins/crowd/forms';
import { CrowdedRole, CrowdFleet, playCrowd } from './crowd-fleet';

const LIMITS = { memoryMb: 200, maxOpenFiles: 500 };
const CLIENTS = 60;
const CONNECTIONS = 600;
const SMALL_BYTES = 200;

let fleet: CrowdFleet;

async function start(): Promise<void> {
  fleet = await CrowdFleet.start(LIMITS);
}

function stop(): Promise<void> {
  return fleet.stop();
}

function crowd(role: CrowdedRole, form: CrowdFormName, clients: number): Promise<void> {
  const ordinary = [fleet.callerRequest(SMALL_BYTES), fleet.operatorCalls()];
  const target = { ...fleet.controllerTarget(), at: fleet.address(role, 'internal') };
  return playCrowd(fleet, { form, clients, role, target, ordinary });
}

beforeEach(start);
afterEach(stop);

/** Guards against issue 65 where strangers reach the ports on which our processes talk to each other. */
test.each<[CrowdedRole, CrowdFormName, number]>([
  ['router', 'a message announced as 4 GB', CLIENTS],
  ['controller', 'a message announced as 4 GB', CLIENTS],
  ['indexer', 'a message announced as 4 GB', CLIENTS],
  ['controller', 'messages of one byte', CLIENTS],
  ['controller', 'endless heads', CLIENTS],
  ['router', 'connections that send nothing', CONNECTIONS],
  ['controller', 'connections that send nothing', CONNECTIONS],
  ['indexer', 'connections that send nothing', CONNECTIONS],
])('the internal port of a %s bears: %s', crowd);
