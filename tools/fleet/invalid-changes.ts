/** Changes of a configuration that are invalid, each in one way. */

import { ConfigDoc } from '../standins/platform/book';
import { NamedChangeDoc } from '../standins/platform/operator';

type Spoil = (doc: ConfigDoc) => void;

function unknownService(doc: ConfigDoc): void {
  doc.routes[0].service = 'nobody';
}

function samePlace(doc: ConfigDoc): void {
  doc.routes.push({ ...doc.routes[0], name: 'twin' });
}

function sharedKey(doc: ConfigDoc): void {
  doc.tenants[1].apiKeys.push(doc.tenants[0].apiKeys[0]);
}

function noTimeout(doc: ConfigDoc): void {
  doc.routes[0].timeoutMs = 0;
}

function noWeight(doc: ConfigDoc): void {
  const route = doc.routes[0];
  route.backends = [{ service: doc.services[0].name, weight: 0 }];
  delete route.service;
}

/** Each makes a document invalid whatever it follows. */
export const SPOILT: readonly Spoil[] = [unknownService, samePlace, sharedKey, noTimeout, noWeight];

/** The change of named items that makes one document of another: the routes and tenants that differ. */
export function spoiltItems(before: ConfigDoc, after: ConfigDoc): NamedChangeDoc {
  return {
    revision: after.revision,
    upsert: {
      routes: differing(before.routes, after.routes),
      tenants: differing(before.tenants, after.tenants),
    },
  };
}

function differing<T extends { name: string }>(before: readonly T[], after: readonly T[]): T[] {
  const known = new Map<string, string>();
  for (const item of before) known.set(item.name, JSON.stringify(item));
  function isOther(item: T): boolean {
    return known.get(item.name) !== JSON.stringify(item);
  }
  return after.filter(isOther);
}
