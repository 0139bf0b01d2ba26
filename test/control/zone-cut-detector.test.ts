/** When a zone counts as cut off: by what was heard of its machines, and by how this process itself ran. */

import { ZoneCutDetector } from '../../src/control/membership/zone-cut-detector';
import { PeerChannel } from '../../src/shared/transport/peer-channel';
import { makeWorld } from '../../tools/sim/simworld';
import { makeNet } from '../../tools/sim/simwire';

const SILENCE_MS = 1000;
const STEP_MS = 50;
const OWN_ZONE = 'own';
const OTHER_ZONE = 'other';

/** A process that is heard until it falls silent. */
interface HeardProcess {
  role: string;
  host: string;
  zone: string;
  silentFrom: number;
}

function makeProcess(
  role: string,
  host: string,
  silentFrom = Infinity,
  zone = OTHER_ZONE,
): HeardProcess {
  return { role, host, zone, silentFrom };
}

/** A detector that hears some processes, all of the time until they fall silent. */
class DetectorRig {
  readonly world = makeWorld(1, false);
  readonly detector: ZoneCutDetector;
  changes = 0;
  private readonly proc = this.world.proc('core-1', '10.1.0.1');

  constructor(readonly processes: HeardProcess[]) {
    this.detector = new ZoneCutDetector({
      ports: makeNet(this.world).ports(this.proc),
      ownZone: OWN_ZONE,
      channels: this.channels.bind(this),
      silenceMs: SILENCE_MS,
      onChange: this.countChange.bind(this),
      isStopped: isNever,
    });
    void this.detector.run();
  }

  async pass(ms: number): Promise<void> {
    const until = this.world.now() + ms;
    while (this.world.now() < until) await this.world.run(this.world.now() + STEP_MS);
  }

  /** Whether the other zone is cut off, after a time. */
  async isCutOffAfter(ms: number): Promise<boolean> {
    await this.pass(ms);
    return this.detector.isCutOff(OTHER_ZONE);
  }

  freeze(): void {
    this.world.freeze(this.proc);
  }

  wake(): void {
    this.world.wake(this.proc);
  }

  private countChange(): void {
    this.changes++;
  }

  private channels(): PeerChannel[] {
    return this.processes.map(this.channelOf.bind(this));
  }

  private channelOf({ role, host, zone, silentFrom }: HeardProcess): PeerChannel {
    const { world } = this;
    function lastReceivedAt(): number {
      return Math.min(world.now(), silentFrom);
    }
    const hello = { version: 1, name: host, role, at: `${host}:7640`, zone };
    return { hello, lastReceivedAt } as unknown as PeerChannel;
  }
}

function isNever(): boolean {
  return false;
}

// Guards against SHORT: a zone all of whose machines fall silent together is cut off, and is not once one is heard.
async function silenceOfAllIsACut(): Promise<void> {
  const processes = [
    makeProcess('controller', '10.1.0.2', 2000),
    makeProcess('router', '10.2.0.1', 2100),
    makeProcess('router', '10.2.0.2', 1900),
  ];
  const rig = new DetectorRig(processes);
  expect(await rig.isCutOffAfter(2900)).toBe(false);
  expect(await rig.isCutOffAfter(SILENCE_MS)).toBe(true);
  expect(rig.detector.cutOffZones()).toEqual([OTHER_ZONE]);
  processes[1].silentFrom = Infinity;
  expect(rig.detector.isCutOff(OTHER_ZONE)).toBe(false);
  expect(rig.changes).toBe(2);
}

interface NoCut {
  name: string;
  processes: HeardProcess[];
}

/** What leaves a zone reachable, as far as can be told. */
const NO_CUTS: NoCut[] = [
  {
    name: 'a router is heard',
    processes: [
      makeProcess('controller', '10.1.0.2', 2000),
      makeProcess('router', '10.2.0.1', 2000),
      makeProcess('router', '10.2.0.2'),
    ],
  },
  {
    name: 'one router only',
    processes: [
      makeProcess('controller', '10.1.0.2', 2000),
      makeProcess('router', '10.2.0.1', 2000),
    ],
  },
  {
    name: 'two routers of one machine',
    processes: [makeProcess('router', '10.2.0.1', 2000), makeProcess('router', '10.2.0.1', 2000)],
  },
  {
    name: 'routers on machines of controllers',
    processes: [
      makeProcess('controller', '10.1.0.2', 2000),
      makeProcess('router', '10.1.0.2', 2000),
      makeProcess('controller', '10.1.0.3', 2000),
      makeProcess('router', '10.1.0.3', 2000),
    ],
  },
  {
    name: 'indexers on machines whose controllers are not known',
    processes: [makeProcess('indexer', '10.1.0.2', 2000), makeProcess('indexer', '10.1.0.3', 2000)],
  },
  {
    name: 'routers that ended long before the controller',
    processes: [
      makeProcess('controller', '10.1.0.2', 4000),
      makeProcess('router', '10.2.0.1', 2000),
      makeProcess('router', '10.2.0.2', 2000),
    ],
  },
  {
    name: 'routers of the own zone',
    processes: [
      makeProcess('controller', '10.1.0.2', 2000),
      makeProcess('router', '10.2.0.1', 2000, OWN_ZONE),
      makeProcess('router', '10.2.0.2', 2000, OWN_ZONE),
    ],
  },
];

// Guards against LOST: controllers that are down are taken for cut off.
async function thisIsNoCut({ processes }: NoCut): Promise<void> {
  const rig = new DetectorRig(processes);
  expect(await rig.isCutOffAfter(10 * SILENCE_MS)).toBe(false);
  expect(rig.changes).toBe(0);
}

// Guards against LOST: a process that was held up has heard nobody meanwhile, and others may be heard in a moment.
async function silenceWhileHeldUpCountsNot(): Promise<void> {
  const rig = new DetectorRig([
    makeProcess('router', '10.2.0.1', 2000),
    makeProcess('router', '10.2.0.2', 2000),
  ]);
  await rig.pass(2200);
  rig.freeze();
  await rig.pass(5 * SILENCE_MS);
  rig.wake();
  expect(await rig.isCutOffAfter(SILENCE_MS / 2)).toBe(false);
  expect(await rig.isCutOffAfter(SILENCE_MS)).toBe(true);
}

test('silence of all machines of a zone is a cut', silenceOfAllIsACut);
for (const noCut of NO_CUTS) test(`no cut: ${noCut.name}`, thisIsNoCut.bind(undefined, noCut));
test('silence while this process was held up counts not', silenceWhileHeldUpCountsNot);
