/** A deployment's sizes; rates are a second, changes a day. */
export interface Sizes {
  nodes: number;
  controllers: number;
  indexers: number;
  engines: number;
  tenants: number;
  routes: number;
  blocks: number;
  events: number;
  requests: number;
  changes: number;
}

/** The sizes that are worked out. Blocks and events grow with the engines, as at the planned size; requests are the deployments' own, by engine for the grown one; the number of routes is assumed. */
export const SIZES: Record<'today' | 'grown' | 'planned', Sizes> = {
  today: {
    nodes: 9,
    controllers: 3,
    indexers: 3,
    engines: 13,
    tenants: 8,
    routes: 48,
    blocks: 2.03e6,
    events: 1483,
    requests: 166,
    changes: 2200,
  },
  grown: {
    nodes: 68,
    controllers: 5,
    indexers: 5,
    engines: 42,
    tenants: 79,
    routes: 200,
    blocks: 6.56e6,
    events: 4791,
    requests: 536,
    changes: 2200,
  },
  planned: {
    nodes: 390,
    controllers: 5,
    indexers: 6,
    engines: 640,
    tenants: 12000,
    routes: 1000,
    blocks: 1e8,
    events: 73000,
    requests: 2900,
    changes: 2200,
  },
};

/** One product that a line is the sum of: a measured slope, or a start, times a count. */
export interface Term {
  axis: string;
  value: string;
  /** The slope counts each of `of`; without it the fit's start counts `times`. */
  of?: keyof Sizes;
  times?: (s: Sizes) => number;
  /** Only at these sizes. */
  at?: (keyof typeof SIZES)[];
}

/** What one process of a role uses at a size. */
export interface PlanLine {
  role: string;
  what: string;
  terms: Term[];
}

const DAY_S = 86400;

function perS(s: Sizes): number {
  return s.changes / DAY_S;
}

function tells(s: Sizes): number {
  return Math.min(16, s.nodes) * 20;
}

function one(): number {
  return 1;
}

const NOW: (keyof typeof SIZES)[] = ['today', 'grown'];
const THEN: (keyof typeof SIZES)[] = ['planned'];

function control(value: string): Term[] {
  return [
    { axis: 'nodes', value, times: one, at: NOW },
    { axis: 'nodes', value, of: 'nodes', at: NOW },
    { axis: 'nodes-17s', value, times: one, at: THEN },
    { axis: 'nodes-17s', value, of: 'nodes', at: THEN },
  ];
}

function node(value: string): Term[] {
  return [
    { axis: 'core', value, times: one, at: NOW },
    { axis: 'core', value, of: 'controllers', at: NOW },
    { axis: 'core-17s', value, times: one, at: THEN },
    { axis: 'core-17s', value, of: 'controllers', at: THEN },
  ];
}

/** The lines of each role. */
export const PLAN: PlanLine[] = [
  { role: 'controller', what: 'processor, quiet, ms/s', terms: control('controller cpu ms/s') },
  {
    role: 'controller',
    what: 'processor, changes, ms/s',
    terms: [
      { axis: 'deployment-nodes', value: 'change: controller cpu ms', of: 'nodes', times: perS },
      {
        axis: 'deployment-tenants',
        value: 'change: controller cpu ms',
        of: 'tenants',
        times: perS,
      },
    ],
  },
  { role: 'controller', what: 'taken, B/s', terms: control('controller in B/s') },
  { role: 'controller', what: 'given, B/s', terms: control('controller out B/s') },
  { role: 'controller', what: 'messages/s', terms: control('controller messages/s') },
  {
    role: 'controller',
    what: 'state (heap), MB',
    terms: [
      ...control('controller heap MB'),
      { axis: 'deployment-tenants', value: 'controller heap MB', of: 'tenants' },
      { axis: 'deployment-routes', value: 'controller heap MB', of: 'routes' },
    ],
  },
  {
    role: 'controller',
    what: 'disk, B/s',
    terms: [
      { axis: 'deployment-tenants', value: 'change: controller disk B', times: perS },
      {
        axis: 'deployment-tenants',
        value: 'change: controller disk B',
        of: 'tenants',
        times: perS,
      },
    ],
  },
  { role: 'node', what: 'processor for control, quiet, ms/s', terms: node('node cpu ms/s') },
  {
    role: 'node',
    what: 'processor for changes, ms/s',
    terms: [
      { axis: 'deployment-tenants', value: 'change: router cpu ms', times: perS },
      { axis: 'deployment-tenants', value: 'change: router cpu ms', of: 'tenants', times: perS },
      { axis: 'deployment-routes', value: 'change: router cpu ms', of: 'routes', times: perS },
    ],
  },
  { role: 'node', what: 'control taken, B/s', terms: node('node in B/s') },
  { role: 'node', what: 'control given, B/s', terms: node('node out B/s') },
  {
    role: 'node',
    what: 'changes, B/s',
    terms: [
      { axis: 'deployment-tenants', value: 'change: router B', times: perS },
      { axis: 'deployment-tenants', value: 'change: router B', of: 'tenants', times: perS },
    ],
  },
  {
    role: 'node',
    what: 'heap, MB',
    terms: [
      { axis: 'deployment-tenants', value: 'router heap MB', times: one },
      { axis: 'deployment-tenants', value: 'router heap MB', of: 'tenants' },
      { axis: 'deployment-routes', value: 'router heap MB', of: 'routes' },
    ],
  },
  {
    role: 'node',
    what: 'processor for requests, ms/s',
    terms: [{ axis: 'requests', value: 'router cpu ms/s', of: 'requests', times: inverseNodes }],
  },
  {
    role: 'indexer',
    what: 'processor for events, ms/s',
    terms: [
      { axis: 'feed-events', value: 'indexer cpu ms/s', times: one },
      { axis: 'feed-events', value: 'indexer cpu ms/s', of: 'events' },
    ],
  },
  {
    role: 'indexer',
    what: 'events taken, B/s',
    terms: [{ axis: 'feed-events', value: 'indexer in B/s', of: 'events' }],
  },
  {
    role: 'indexer',
    what: 'processor for questions, ms/s',
    terms: [
      { axis: 'overlaps', value: 'overlaps cpu ms/s', of: 'requests', times: inverseIndexers },
    ],
  },
  {
    role: 'indexer',
    what: 'processor for words of placing, ms/s',
    terms: [{ axis: 'overlaps', value: 'placeds cpu ms/s', of: 'requests' }],
  },
  {
    role: 'indexer',
    what: 'processor for the board (one of them), ms/s',
    terms: [
      { axis: 'board', value: 'tell: cpu ms', times: tells },
      { axis: 'board', value: 'tell: cpu ms', of: 'engines', times: tells },
    ],
  },
  {
    role: 'indexer',
    what: 'state (heap), MB',
    terms: [
      { axis: 'feed-blocks', value: 'indexer heap MB', times: one },
      { axis: 'feed-blocks', value: 'indexer heap MB', of: 'blocks' },
    ],
  },
];

function inverseNodes(s: Sizes): number {
  return 1 / s.nodes;
}

function inverseIndexers(s: Sizes): number {
  return 1 / s.indexers;
}
