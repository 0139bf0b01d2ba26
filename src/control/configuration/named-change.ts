/**
 * Named changes of documents: lists of named items, of which some are replaced, added or removed.
 */

import { NamedChange } from '../../shared/state/deployment';

interface NamedItem {
  name: string;
}

/** Makes a document from another by a named change of its lists. Replaced items keep their place, new ones go to the end. */
export function applyNamedChange(document: object, change: NamedChange): object {
  const changed: Record<string, unknown> = { ...document, revision: change.revision };
  const before = document as Record<string, NamedItem[] | undefined>;
  for (const list of new Set([...Object.keys(change.remove), ...Object.keys(change.upsert)]))
    changed[list] = changeItems(before[list] ?? [], change.upsert[list], change.remove[list]);
  return changed;
}

function changeItems(
  before: readonly NamedItem[],
  upsert: readonly NamedItem[] = [],
  remove: readonly string[] = [],
): NamedItem[] {
  const removed = new Set(remove);
  const added = new Map<string, NamedItem>();
  for (const item of upsert) added.set(item.name, item);
  const items: NamedItem[] = [];
  for (const item of before) {
    const replacement = added.get(item.name);
    if (replacement) items.push(replacement);
    else if (!removed.has(item.name)) items.push(item);
    added.delete(item.name);
  }
  return [...items, ...added.values()];
}
