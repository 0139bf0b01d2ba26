/** What operators of worst days ask for. */
import { CallKind } from '../../../src/shared/history/calls';
import { RandomSource } from '../../../src/shared/ports/random';
import { usersPlatform } from '../../../platform/adapter';
import {
  applyRouteChange,
  documentOf,
  hashOf,
  Item,
  RouteChange,
  routeOf,
  WorstDocument,
} from './documents';

/** A change, as it is sent until it is answered. */
export interface Order {
  name: string;
  key: string;
  kind: CallKind;
  path: string;
  base: number;
  revision: number;
  body: unknown;
  /** What it makes of the document that it builds on, where that is known. */
  document?: WorstDocument;
  hash?: string;
}

/** What an operator knows to be current. */
export interface Known {
  revision: number;
  document?: WorstDocument;
}

/** The key of the configuration in histories. */
export const DEPLOYMENT_KEY = 'deployment';
/** The models whose weights are named. */
export const MODELS = ['model-a', 'model-b'] as const;

const { paths } = usersPlatform.operators;
const ROUTE_NAMES = ['r0', 'r1', 'r2', 'r3', 'r4', 'r5'];
const NAMED_SHARE = 0.5;
const INVALID_SHARE = 0.03;
const LONGEST_STEP = 5;

/** The key of a model's weights in histories. */
export function weightsKeyOf(model: string): string {
  return `weights/${model}`;
}

function drawRevision(base: number, dice: RandomSource): number {
  if (dice.next() < INVALID_SHARE) return base;
  return base + 1 + Math.floor(dice.next() * LONGEST_STEP);
}

function drawRoutes(maker: string, dice: RandomSource, share: number): Item[] {
  const routes: Item[] = [];
  for (const name of ROUTE_NAMES) if (dice.next() < share) routes.push(routeOf(name, maker));
  return routes;
}

function wholeOrder(name: string, known: Known, dice: RandomSource): Order {
  const revision = drawRevision(known.revision, dice);
  const routes = [routeOf('first', name), ...drawRoutes(name, dice, 0.6)];
  const document = documentOf(revision, routes);
  return {
    name,
    key: DEPLOYMENT_KEY,
    kind: 'replace',
    path: paths.replace,
    base: known.revision,
    revision,
    body: document,
    document,
    hash: hashOf(document),
  };
}

function namedOrder(name: string, known: Known, dice: RandomSource): Order {
  const revision = drawRevision(known.revision, dice);
  const routes = [routeOf(ROUTE_NAMES[0], name), ...drawRoutes(name, dice, 0.2).slice(1)];
  const removed = dice.next() < 0.3 ? [ROUTE_NAMES[ROUTE_NAMES.length - 1]] : [];
  function isKept(route: Item): boolean {
    return !removed.includes(route.name);
  }
  const change: RouteChange = {
    revision,
    upsert: { routes: routes.filter(isKept) },
    remove: { routes: removed },
  };
  const document = known.document && applyRouteChange(known.document, change);
  return {
    name,
    key: DEPLOYMENT_KEY,
    kind: 'update',
    path: paths.update,
    base: known.revision,
    revision,
    body: change,
    document,
    hash: document && hashOf(document),
  };
}

/** Draws a change of the configuration, whole or named, on what an operator knows. */
export function drawChange(name: string, known: Known, dice: RandomSource): Order {
  const isNamed = known.revision > 0 && dice.next() < NAMED_SHARE;
  return isNamed ? namedOrder(name, known, dice) : wholeOrder(name, known, dice);
}

/** A naming of weights. */
export function namingOf(name: string, model: string, revision: number): Order {
  return {
    name,
    key: weightsKeyOf(model),
    kind: 'name',
    path: paths.weights,
    base: 0,
    revision,
    body: { model, revision },
  };
}
