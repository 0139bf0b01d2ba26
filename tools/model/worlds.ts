/** The small worlds that are checked. */
import { CONTROL_KEYS } from '../../src/shared/state/control-keys';
import { Milestone } from './invariants';
import { Step, WEIGHTS_KEY } from './operators';

/** How many faults of each kind a schedule may have. */
export interface Budgets {
  crash: number;
  power: number;
  wipe: number;
  loss: number;
  duplicate: number;
  freeze: number;
  cut: number;
  /** Timers that ring although there is progress to be made. */
  lateTimer: number;
}

/** A world: its nodes, what its operators do, and its faults. */
export interface WorldPlan {
  summary: string;
  voters: number;
  scripts: Step[][];
  budgets: Budgets;
  /** What its schedules are to bring about. */
  reaches: Milestone[];
  /** Bytes of a disk's log after which its other slot is started. */
  mostLog: number;
  /** Whether the cluster is not bootstrapped yet; operator `i` takes the steps of node `i`. */
  isBlank?: boolean;
  /** Whether documents are so long that a change of one is sent and stored as a difference. */
  hasLongDocuments?: boolean;
  /** Whether disks vote on idempotency keys. */
  hasVotes?: boolean;
  /** Whether the disk port syncs a file before it is read: a repair that is weighed, not the code as it is. */
  syncedReads?: boolean;
}

const NO_FAULTS: Budgets = {
  crash: 0,
  power: 0,
  wipe: 0,
  loss: 0,
  duplicate: 0,
  freeze: 0,
  cut: 0,
  lateTimer: 0,
};

const LARGE_LOG = 1 << 20;
/** Some differences, and less than two long documents. */
const MEDIUM_LOG = 6000;
const SMALL_LOG = 400;

const deploy: Step = { do: 'deploy' };
const again: Step = { do: 'deploy again' };
const name: Step = { do: 'name weights' };
const bootstrap: Step = { do: 'take a step of the bootstrap' };
const FOUNDING_STEPS: Step[] = [bootstrap, bootstrap, bootstrap, bootstrap, bootstrap];
const useKey: Step = { do: 'use idempotency key', then: 'done' };
const useKeyAndRelease: Step = { do: 'use idempotency key', then: 'released' };
const read: Step = { do: 'read', key: CONTROL_KEYS.deployment };
const replace: Step = { do: 'replace emptied voters' };
const readWeights: Step = { do: 'read', key: WEIGHTS_KEY };

/** The worlds by name. */
export const WORLDS: Record<string, WorldPlan> = {
  race: {
    summary: '3 voters, two operators deploy on the same bases; messages lost and late',
    voters: 3,
    reaches: ['acknowledged', 'read'],
    scripts: [
      [deploy, read, deploy, again],
      [deploy, read, deploy, again],
    ],
    budgets: { ...NO_FAULTS, loss: 2, duplicate: 2, lateTimer: 4, cut: 1, freeze: 1 },
    mostLog: LARGE_LOG,
  },
  reads: {
    summary: '3 voters, an operator who deploys and two who read; a freeze, a cut, late timers',
    voters: 3,
    reaches: ['acknowledged', 'read'],
    scripts: [
      [deploy, deploy, read],
      [read, read, read],
      [read, deploy, read],
    ],
    budgets: { ...NO_FAULTS, freeze: 2, cut: 2, lateTimer: 6 },
    mostLog: LARGE_LOG,
  },
  settle: {
    summary: '3 voters, a read at a node that is cut off from the owner and takes the key over',
    voters: 3,
    reaches: ['acknowledged', 'read'],
    scripts: [
      [deploy, again, deploy],
      [again, again, read],
      [again, deploy],
    ],
    budgets: { ...NO_FAULTS, cut: 1 },
    mostLog: LARGE_LOG,
  },
  crash: {
    summary: '3 voters, two operators; crashes, small logs',
    voters: 3,
    reaches: ['acknowledged', 'read'],
    scripts: [
      [deploy, deploy, again],
      [deploy, read, deploy],
    ],
    budgets: { ...NO_FAULTS, crash: 3, loss: 1, lateTimer: 2, cut: 1 },
    mostLog: SMALL_LOG,
  },
  power: {
    summary: '3 voters, two operators; power losses, small logs',
    voters: 3,
    reaches: ['acknowledged', 'read'],
    scripts: [
      [deploy, deploy, again],
      [deploy, read, deploy],
    ],
    budgets: { ...NO_FAULTS, power: 3, loss: 1, lateTimer: 2 },
    mostLog: SMALL_LOG,
  },
  'crash-power': {
    summary: '3 voters, two operators; crashes and power losses, small logs',
    voters: 3,
    reaches: ['acknowledged', 'read'],
    scripts: [
      [deploy, deploy, again],
      [deploy, read, deploy],
    ],
    budgets: { ...NO_FAULTS, crash: 2, power: 2, loss: 1, lateTimer: 2 },
    mostLog: SMALL_LOG,
  },
  wipe: {
    summary: '3 voters, two operators; one disk wiped, the others lose power',
    voters: 3,
    reaches: ['acknowledged', 'read'],
    scripts: [
      [deploy, deploy, again],
      [deploy, read, deploy],
    ],
    budgets: { ...NO_FAULTS, wipe: 1, power: 2, lateTimer: 2 },
    mostLog: LARGE_LOG,
  },
  five: {
    summary: '5 voters, two operators; two disks wiped, cuts and a freeze',
    voters: 5,
    reaches: ['acknowledged', 'read'],
    scripts: [
      [deploy, deploy, again],
      [deploy, read, deploy],
    ],
    budgets: { ...NO_FAULTS, wipe: 2, power: 1, cut: 1, freeze: 1, lateTimer: 3 },
    mostLog: LARGE_LOG,
  },
  'two-keys': {
    summary:
      '3 voters, two operators, a deployment and named weights; all kinds of fault but power loss',
    voters: 3,
    reaches: ['acknowledged', 'read'],
    scripts: [
      [deploy, name, read, again],
      [name, deploy, readWeights, name],
    ],
    budgets: {
      crash: 2,
      power: 0,
      wipe: 1,
      loss: 1,
      duplicate: 1,
      freeze: 1,
      cut: 1,
      lateTimer: 3,
    },
    mostLog: SMALL_LOG,
  },
  voters: {
    summary: '3 voters, an operator who replaces wiped disks beside one who deploys',
    voters: 3,
    reaches: ['acknowledged', 'voters replaced'],
    scripts: [
      [deploy, replace, deploy, replace, replace],
      [deploy, deploy, again, read],
    ],
    budgets: { ...NO_FAULTS, wipe: 2, power: 1, loss: 1, lateTimer: 2 },
    mostLog: LARGE_LOG,
  },
  differences: {
    summary: '3 voters, two operators whose changes are sent and stored as differences',
    voters: 3,
    reaches: ['acknowledged', 'read', 'difference accepted'],
    scripts: [
      [deploy, deploy, deploy, again],
      [deploy, read, deploy],
    ],
    budgets: { ...NO_FAULTS, crash: 2, power: 2, loss: 2, duplicate: 1, cut: 1, lateTimer: 2 },
    mostLog: MEDIUM_LOG,
    hasLongDocuments: true,
  },
  founding: {
    summary: '3 blank founders, each at its own pace; cuts, crashes and power losses',
    voters: 3,
    reaches: ['bootstrapped'],
    scripts: [FOUNDING_STEPS, FOUNDING_STEPS, FOUNDING_STEPS],
    budgets: { ...NO_FAULTS, crash: 2, power: 2, loss: 2, duplicate: 1, cut: 2, freeze: 1 },
    mostLog: SMALL_LOG,
    isBlank: true,
  },
  votes: {
    summary:
      '3 voters, runs of three callers under one idempotency key, one of which gives it back',
    voters: 3,
    reaches: ['key acquired'],
    scripts: [[useKey, useKey], [useKeyAndRelease, useKey], [useKey]],
    budgets: {
      ...NO_FAULTS,
      crash: 2,
      power: 2,
      wipe: 1,
      loss: 1,
      duplicate: 1,
      cut: 1,
      freeze: 1,
    },
    mostLog: LARGE_LOG,
    hasVotes: true,
  },
  'one-order': {
    summary: 'for the exhaustive search: 3 voters, one order and a read, no fault',
    voters: 3,
    reaches: ['acknowledged', 'read'],
    scripts: [[deploy, read]],
    budgets: NO_FAULTS,
    mostLog: LARGE_LOG,
  },
  'one-crash': {
    summary: 'for the exhaustive search: 3 voters, one order sent twice, one crash or power loss',
    voters: 3,
    reaches: ['acknowledged'],
    scripts: [[deploy, again]],
    budgets: { ...NO_FAULTS, power: 1 },
    mostLog: LARGE_LOG,
  },
  'two-orders': {
    summary: 'for the exhaustive search: 3 voters, two orders on one base, one late timer',
    voters: 3,
    reaches: ['acknowledged'],
    scripts: [[deploy], [deploy]],
    budgets: { ...NO_FAULTS, lateTimer: 1 },
    mostLog: LARGE_LOG,
  },
};
