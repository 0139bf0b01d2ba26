import { CONTROL_KEYS } from '../../src/shared/state/control-keys';
import { Deployment } from '../../src/shared/state/deployment';
import { Engine } from '../../src/shared/state/engines';
import {
  BOUND_PER_S,
  ControllerModel,
  engineOf,
  mostInOneSecond,
  RealTime,
  RouterModel,
  SendLog,
  startRouter,
} from '../control/warm-up-rig';
import { manualClock, ManualClock } from '../shared/manual-clock';
import {
  deployment,
  EngineCall,
  EngineStandIn,
  GatewayFixture,
  route,
  sendRequest,
  startGatewayFixture,
  startStandIn,
  streamEvents,
} from './gateway-fixture';

const WARM_UP_MS = 3000;
const ROUTERS = 6;
const REQUESTS_PER_BURST = 12;
const BURST_PERIOD_MS = 300;
const BURSTS = 8;
const RESTARTED_ROUTERS = [1, 4];
const DISKS = ['a', 'b', 'c'];

/** A deployment whose engines bear 20 requests a second while they are cold. */
function warmingDeployment(): Deployment {
  const plain = deployment([route({ maxAttempts: 2 })]);
  const [pool] = plain.pools;
  return { ...plain, pools: [{ ...pool, warmUpMs: WARM_UP_MS, warmUpPerS: 20 }] };
}

function listed(engine: EngineStandIn, warmMs: number): EngineStandIn & Partial<Engine> {
  return { ...engine, warmMs };
}

/** One gateway with a clock of the test's own, which holds some permits for each engine. */
async function startOne(
  engines: (EngineStandIn & Partial<Engine>)[],
  permits: number,
): Promise<{ rig: GatewayFixture; clock: ManualClock }> {
  const clock = manualClock();
  function permitCount(): number {
    return permits;
  }
  const rig = await startGatewayFixture({
    engines,
    deployment: warmingDeployment(),
    clock,
    permitCount,
  });
  return { rig, clock };
}

async function statuses(rig: GatewayFixture, count: number): Promise<number[]> {
  const got: number[] = [];
  for (let i = 0; i < count; i++) got.push((await sendRequest(rig.address)).status);
  return got;
}

function turn(): Promise<void> {
  function wait(done: () => void): void {
    setImmediate(done);
  }
  return new Promise(wait);
}

async function withoutPermit(): Promise<void> {
  const engine = await startStandIn('e1', streamEvents(1));
  const { rig } = await startOne([listed(engine, WARM_UP_MS)], 0);
  expect(await statuses(rig, 3)).toEqual([503, 503, 503]);
  expect(engine.calls).toHaveLength(0);
  await rig.close();
}

async function withPermits(): Promise<void> {
  const engine = await startStandIn('e1', streamEvents(1));
  const { rig, clock } = await startOne([listed(engine, WARM_UP_MS)], 2);
  expect(await statuses(rig, 4)).toEqual([200, 200, 503, 503]);
  await clock.advance(1000);
  expect(await statuses(rig, 1)).toEqual([503]);
  await clock.advance(101);
  expect(await statuses(rig, 3)).toEqual([200, 200, 503]);
  await rig.close();
}

async function onceWarm(): Promise<void> {
  const engine = await startStandIn('e1', streamEvents(1));
  const { rig, clock } = await startOne([listed(engine, WARM_UP_MS)], 0);
  await clock.advance(WARM_UP_MS);
  expect(await statuses(rig, 1)).toEqual([503]);
  rig.publishEngines([listed(engine, 0)]);
  expect(await statuses(rig, 2)).toEqual([200, 200]);
  rig.publishEngines([listed(engine, 2500)]);
  expect(await statuses(rig, 1)).toEqual([503]);
  await rig.close();
}

async function afterEvacuation(): Promise<void> {
  const engine = await startStandIn('e1', streamEvents(1));
  const { rig, clock } = await startOne([listed(engine, 0)], 0);
  rig.publish(CONTROL_KEYS.evacuations, { zones: ['zone-a', 'zone-b'] });
  rig.publish(CONTROL_KEYS.evacuations, { zones: ['zone-b'] });
  expect(await statuses(rig, 1)).toEqual([503]);
  await clock.advance(WARM_UP_MS);
  expect(await statuses(rig, 1)).toEqual([200]);
  await rig.close();
}

async function backAtItsAddress(): Promise<void> {
  const engine = await startStandIn('e1', streamEvents(1));
  const { rig, clock } = await startOne([{ ...listed(engine, 0), at: '127.0.0.1:9' }], 0);
  expect(await statuses(rig, 1)).toEqual([503]);
  rig.publishEngines([listed(engine, 0)]);
  await clock.advance(600);
  expect(await statuses(rig, 1)).toEqual([503]);
  while (engine.connections === 0) await turn();
  await clock.advance(1);
  await clock.advance(WARM_UP_MS);
  expect(await statuses(rig, 1)).toEqual([200]);
  await rig.close();
}

async function reportedByOthers(): Promise<void> {
  const engine = await startStandIn('e1', streamEvents(1));
  const { rig, clock } = await startOne([listed(engine, 0)], 0);
  rig.tellUnreachable('e1');
  expect(await statuses(rig, 1)).toEqual([503]);
  while (engine.connections === 0) await turn();
  await clock.advance(1);
  expect(await statuses(rig, 1)).toEqual([503]);
  await clock.advance(WARM_UP_MS);
  expect(await statuses(rig, 1)).toEqual([200]);
  await rig.close();
}

async function reportedBeforeItsStart(): Promise<void> {
  const engine = await startStandIn('e1', streamEvents(1));
  const rig = await startGatewayFixture({
    engines: [listed(engine, 0)],
    deployment: warmingDeployment(),
    clock: manualClock(),
    reported: ['e1'],
  });
  expect(await statuses(rig, 2)).toEqual([503, 503]);
  await rig.close();
}

async function reportsWhatItCannotReach(): Promise<void> {
  const engine = await startStandIn('e1', streamEvents(1));
  const told: string[] = [];
  function onUnreachable(id: string): void {
    told.push(id);
  }
  const rig = await startGatewayFixture({
    engines: [{ ...listed(engine, 0), at: '127.0.0.1:9' }],
    deployment: warmingDeployment(),
    clock: manualClock(),
    onUnreachable,
  });
  expect(await statuses(rig, 1)).toEqual([503]);
  expect(told).toEqual(['e1']);
  await rig.close();
}

/** Routers as gateways on sockets and as holders of permits, in one time. */
class WarmingFleet {
  readonly log: SendLog = new Map<string, number[]>();
  private readonly time = new RealTime();
  private readonly clock = manualClock();
  private readonly controllers: ControllerModel[] = [];
  private readonly holders: RouterModel[] = [];
  private readonly gateways: GatewayFixture[] = [];
  private engines: (EngineStandIn & Partial<Engine>)[] = [];

  async start(): Promise<void> {
    for (const id of ['cold-1', 'cold-2']) this.engines.push(await this.startEngine(id));
    this.engines.push(await this.startEngine('warm-1'));
    const models = this.engines.map(modelOf);
    for (const disk of DISKS)
      this.controllers.push(new ControllerModel(disk, this.time.clock(1), models, voters()));
    for (let i = 0; i < ROUTERS; i++) await this.startRouter(i);
  }

  /** Lets time pass, in which leases are renewed. */
  async pass(periods: number): Promise<void> {
    for (let i = 0; i < periods; i++) {
      await this.clock.advance(BURST_PERIOD_MS);
      this.time.now += BURST_PERIOD_MS;
      for (const holder of this.holders)
        for (const controller of this.controllers) await holder.renewAgain(controller);
    }
  }

  /** Tells all routers that a zone's engines are back, cold. */
  tellCold(): void {
    this.engines = this.engines.map(turnCold);
    for (const gateway of this.gateways) gateway.publishEngines(this.engines);
  }

  /** Has all gateways asked at once. */
  async burst(): Promise<number[]> {
    const answers: Promise<{ status: number }>[] = [];
    for (const { address } of this.gateways)
      for (let i = 0; i < REQUESTS_PER_BURST; i++) answers.push(sendRequest(address));
    return (await Promise.all(answers)).map(statusOf);
  }

  /** Kills a router and starts it again. */
  async restart(i: number): Promise<void> {
    await this.gateways[i].gateway.stop();
    await this.startRouter(i);
  }

  async stop(): Promise<void> {
    for (const gateway of this.gateways) await gateway.close();
  }

  private async startRouter(i: number): Promise<void> {
    const holder = startRouter(`edge-${i}`, 'zone-a', this.time, 1);
    function permitCount(id: string): number {
      return holder.permitCount(engineOf(id, 'zone-a'));
    }
    this.holders[i] = holder;
    this.gateways[i] = await startGatewayFixture({
      engines: this.engines,
      deployment: warmingDeployment(),
      clock: this.clock,
      routers: ROUTERS,
      permitCount,
    });
  }

  private startEngine(id: string): Promise<EngineStandIn> {
    const times: number[] = [];
    const answer = streamEvents(1);
    const { clock } = this;
    this.log.set(id, times);
    function noted(call: EngineCall): void {
      times.push(clock.now());
      answer(call);
    }
    return startStandIn(id, noted);
  }
}

function turnCold(engine: EngineStandIn & Partial<Engine>): EngineStandIn & Partial<Engine> {
  return listed(engine, engine.id.startsWith('cold') ? WARM_UP_MS : 0);
}

function modelOf({ id, zone }: EngineStandIn): Engine {
  return engineOf(id, zone);
}

function voters(): { now: { disk: string; at: string }[] } {
  function voterOf(disk: string): { disk: string; at: string } {
    return { disk, at: disk };
  }
  return { now: DISKS.map(voterOf) };
}

function statusOf({ status }: { status: number }): number {
  return status;
}

async function zoneBackColdAmidRestarts(): Promise<void> {
  const fleet = new WarmingFleet();
  await fleet.start();
  await fleet.pass(16);
  fleet.tellCold();
  const got: number[] = [];
  for (let i = 0; i < BURSTS; i++) {
    got.push(...(await fleet.burst()));
    await fleet.pass(1);
    const restarted = RESTARTED_ROUTERS[i - 1];
    if (restarted !== undefined) await fleet.restart(restarted);
  }
  const { log } = fleet;
  await fleet.stop();
  const coldOnly = new Map([...log].filter(isOfCold));
  expect(mostInOneSecond(coldOnly)).toBeGreaterThan(0);
  expect(mostInOneSecond(coldOnly)).toBeLessThanOrEqual(BOUND_PER_S);
  expect(got.filter(isServed).length).toBeGreaterThan(got.length / 2);
}

function isOfCold([id]: [string, number[]]): boolean {
  return id.startsWith('cold');
}

function isServed(status: number): boolean {
  return status === 200;
}

// Guards against FAILBACK: what routers send to a cold engine was not bounded at all.
test('a router without a permit sends a cold engine nothing', withoutPermit);
test('a permit serves for one request in its window', withPermits);
test('an engine is cold until a list shows it warm, and again once a list says so', onceWarm);
// Guards against FAILBACK: the engines of a zone may have turned cold before its evacuation ends.
test('the engines of a zone whose evacuation has ended are taken as cold', afterEvacuation);
// Guards against FAILBACK: an engine that starts again at its address is cold before a list shows it.
test('an engine that could not be connected to is taken as cold once it can be', backAtItsAddress);
// Guards against FAILBACK: a router that sent nothing to an engine while it was down took it as warm once it was back.
test('an engine that routers of its zone report as unreachable is taken as cold', reportedByOthers);
// Guards against FAILBACK: a router that starts beside the return of a zone has heard of no failure itself.
test(
  'an engine that was reported before a router began to listen is taken as cold',
  reportedBeforeItsStart,
);
test('a router reports an engine that it can not connect to', reportsWhatItCannotReach);
// Guards against FAILBACK: engines of a zone that came back cold got all requests at once, more so beside restarts of routers.
test(
  'a zone that comes back cold amid restarts of routers gets no more than it may',
  zoneBackColdAmidRestarts,
  20_000,
);
