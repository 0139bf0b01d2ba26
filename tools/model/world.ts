/** One run of a modelled world: it lists the enabled events, runs the chosen one, and has the checkers look. */
import { openControlStore } from '../../src/control/storage/control-store';
import { Result, errorOrValue } from '../../src/shared/errors/errors';
import { RandomSource } from '../../src/shared/ports/random';
import { Ports } from '../../src/shared/ports/ports';
import { compareVersions, VersionedValue } from '../../src/shared/state/versions';
import { CONTROL_KEYS } from '../../src/shared/state/control-keys';
import { Voter, VoterSet } from '../../src/shared/state/voter-set';
import { Checker, DurableDisk, HeldCell, Violation } from './invariants';
import { Faults, makeFaults } from './faults';
import { Mutation, UNCHANGED } from './mutations';
import { makeNetwork, Network } from './network';
import { ModelNode, READ } from './node';
import { makeTimelessClock, SILENT_LOGGER, UNREACHABLE_NETWORK } from './ports';
import { Operator, WEIGHTS_KEY } from './operators';
import { learnedVoters } from './replace';
import { digest, drainMicrotasks, makeScheduler, ModelEvent, Scheduler } from './scheduler';
import { WorldPlan } from './worlds';

/** A schedule longer than this is cut off, and counted. */
export const MOST_STEPS = 1500;

const CLOSING_KEYS = [CONTROL_KEYS.deployment, WEIGHTS_KEY];

/** A world that is being run. */
export interface ModelWorld {
  checker: Checker;
  enabled: () => ModelEvent[];
  run: (event: ModelEvent) => Promise<void>;
  /** Ends all faults and reads every key at every node. */
  close: () => Promise<void>;
  digest: () => string;
}

interface Durable {
  version: number;
  disk: DurableDisk;
}

/** Opens what a power loss would leave now; that of one version is opened once. */
async function openDurable(node: ModelNode, known: Durable | undefined): Promise<Durable> {
  const version = node.folder.version();
  if (known?.version === version) return known;
  const ports: Ports = {
    disk: node.folder.durableCopy(),
    random: fixedDice(),
    clock: makeTimelessClock({ addTimer: neverRings }),
    network: UNREACHABLE_NETWORK,
    logger: SILENT_LOGGER,
  };
  const [fault, slots] = errorOrValue(await openControlStore(ports, 1 << 20));
  if (fault) return { version, disk: { disk: '', cells: new Map<string, HeldCell>() } };
  const { diskId, registers, bootstrapVoterSet } = slots;
  return { version, disk: { disk: diskId, cells: registers, bootstrap: bootstrapVoterSet() } };
}

function neverRings(): () => void {
  return nothing;
}

function nothing(): void {
  // does nothing on purpose
}

function fixedDice(): RandomSource {
  function next(): number {
    return 0.5;
  }
  function id(): string {
    return 'unnamed';
  }
  return { next, uuid: id };
}

/** Makes a founded world, with its operators about to begin. */
export async function makeModelWorld(
  plan: WorldPlan,
  mutation: Mutation = UNCHANGED,
): Promise<ModelWorld> {
  const checker = new Checker();
  const scheduler: Scheduler = makeScheduler(view);
  const network: Network = makeNetwork(scheduler);
  const nodes: ModelNode[] = [];
  const operators: Operator[] = [];
  const durables = new Map<ModelNode, Durable>();
  const scanned = new Map<string, VersionedValue>();
  /** Empty until the founding is over. */
  const founding: { voters?: VoterSet } = {};
  const { mostLog, syncedReads, hasVotes } = plan;
  const founders = plan.isBlank ? nodeNames(plan.voters) : undefined;
  const parts = {
    scheduler,
    network,
    checker,
    mutation,
    mostLog,
    syncedReads,
    hasVotes,
    founders,
    nodes: nodesNow,
  };
  for (const name of nodeNames(plan.voters)) nodes.push(new ModelNode(name, parts));
  const faults: Faults = makeFaults({ nodes, network, budgets: { ...plan.budgets }, mayWipe });

  function nodesNow(): ModelNode[] {
    return nodes;
  }

  function view(): string {
    const parts: string[] = [...network.cuts()];
    for (const n of nodes) parts.push(n.serving ? `${n.disk()}` : 'down');
    return parts.join(' ');
  }

  function enabled(): ModelEvent[] {
    const timers: ModelEvent[] = [];
    const progress: ModelEvent[] = [];
    for (const event of scheduler.enabled())
      (event.class === 'progress' ? progress : timers).push(event);
    const recovery = faults.recoveries();
    const early = progress.length + recovery.length > 0;
    const late = early ? faults.lateTimers(timers) : timers;
    return [...progress, ...recovery, ...late, ...faults.faults()];
  }

  async function run(event: ModelEvent): Promise<void> {
    event.run();
    await drainMicrotasks();
    scan();
    await checkDurable();
  }

  const seen = checker.seen.bind(checker);
  const learned = checker.learned.bind(checker);

  /** Shows the checkers what the disks' processes hold by now. */
  function scan(): void {
    for (const node of nodes) {
      for (const [key, cell] of node.slots()?.registers ?? []) {
        note(`${node.name} ${key} accepted`, cell.accepted, seen);
        note(`${node.name} ${key} learned`, cell.learned, learned);
      }
    }
  }

  function note(
    at: string,
    n: VersionedValue | undefined,
    tell: (n: VersionedValue) => void,
  ): void {
    if (!n || scanned.get(at) === n) return;
    scanned.set(at, n);
    tell(n);
  }

  async function checkDurable(): Promise<void> {
    const disks: DurableDisk[] = [];
    for (const [i, node] of nodes.entries()) {
      const durable = await openDurable(node, durables.get(node));
      durables.set(node, durable);
      const expected = node.folder.wasWiped() ? undefined : founding.voters?.now[i].disk;
      disks.push({ ...durable.disk, expected });
    }
    const voters = (newestVoters()?.value as VoterSet | undefined) ?? founding.voters;
    if (voters) checker.durable(disks, voters);
    else if (plan.isBlank) checker.durable(disks, { now: [] });
  }

  /** The newest voters that any living disk has learned. */
  function newestVoters(): VersionedValue | undefined {
    let newest: VersionedValue | undefined;
    for (const { disk } of durables.values()) {
      const learned = learnedVoters(disk.cells);
      if (learned && (!newest || compareVersions(learned, newest) > 0)) newest = learned;
    }
    return newest;
  }

  /** A further disk may be lost while no change of the voters is under way, where all that live know the newest voters, and a majority stays. */
  function mayWipe(): boolean {
    const newest = newestVoters();
    const voters = newest?.value as VoterSet | undefined;
    if (!newest || !voters || voters.next) return false;
    const living = new Set<string>();
    for (const { disk } of durables.values()) {
      const learned = learnedVoters(disk.cells);
      if (!learned) continue;
      if (compareVersions(learned, newest) !== 0) return false;
      living.add(disk.disk);
    }
    function isLost(v: Voter): boolean {
      return !living.has(v.disk);
    }
    return (voters.now.filter(isLost).length + 1) * 2 < voters.now.length;
  }

  async function runAll(): Promise<void> {
    for (let i = 0; i < MOST_STEPS; i++) {
      const event = enabled().find(isNotFault);
      if (!event) return;
      await run(event);
    }
  }

  /** Starts the nodes and gives each the founding voters. */
  async function found(): Promise<VoterSet | undefined> {
    for (const node of nodes) node.start();
    await drainMicrotasks();
    await runAll();
    const voters: VoterSet = { now: nodes.map(voterOf) };
    if (plan.isBlank) return undefined;
    const learned: VersionedValue = {
      key: CONTROL_KEYS.voters,
      epoch: 1,
      by: 'founder',
      number: 1,
      value: voters,
    };
    const promised = { epoch: 1, by: 'founder' };
    for (const node of nodes)
      void node.slots()!.put({ key: CONTROL_KEYS.voters, promised, accepted: learned, learned });
    await drainMicrotasks();
    await runAll();
    return voters;
  }

  async function close(): Promise<void> {
    await runAll();
    for (const key of CLOSING_KEYS) for (const node of nodes) await closingRead(node, key);
  }

  async function closingRead(node: ModelNode, key: string): Promise<void> {
    const begun = checker.begin('read', key);
    let answer: Result<unknown> | undefined;
    function told(o: Result<unknown>): void {
      answer = o;
    }
    void node.handle(READ, { key }).then(told);
    await drainMicrotasks();
    await runAll();
    if (answer?.isRight()) checker.read(begun, answer.extract() as VersionedValue | undefined);
  }

  function stateDigest(): string {
    const parts: string[] = [view(), faults.describe(), checker.digest(), ...scheduler.describe()];
    for (const n of nodes)
      parts.push(`${n.name} ${n.running} ${n.frozen} ${n.life} ${n.history} ${n.folder.digest()}`);
    for (const o of operators) parts.push(`${o.describe()} ${o.history}`);
    return digest(parts.join('\n'));
  }

  founding.voters = await found();
  function voters(): VoterSet {
    return founding.voters!;
  }
  const hasLongDocuments = plan.hasLongDocuments === true;
  const shared = { scheduler, network, checker, mutation, nodes, voters, hasLongDocuments };
  for (const [i, script] of plan.scripts.entries()) operators.push(new Operator(i, script, shared));
  for (const operator of operators) operator.begin();
  return { checker, enabled, run, close, digest: stateDigest };
}

function nodeNames(count: number): string[] {
  const names: string[] = [];
  for (let i = 1; i <= count; i++) names.push(`node-${i}`);
  return names;
}

/** Whether an event may also happen in a calm system. */
export function isNotFault(event: ModelEvent): boolean {
  return event.class !== 'fault';
}

function voterOf(node: ModelNode): Voter {
  return { disk: node.disk()!, at: node.name };
}

/** The violations of a world, each invariant once. */
export function firstViolations(violations: Violation[]): Violation[] {
  const first = new Map<string, Violation>();
  for (const v of violations) if (!first.has(v.invariant)) first.set(v.invariant, v);
  return [...first.values()];
}
