import { Either, Left, Right } from 'purify-ts';
import { Deployment, DeploymentValue, NamedChange } from '../shared/deployment';
import { Dialect } from '../shared/dialect';
import { bad, Outcome } from '../shared/errors';
import { shortHash } from '../shared/lib';
import { KEYS, Numbered } from '../shared/words';
import { checkDeployment } from './deployment-check';

/** Changes that are remembered as taken, so that one sent again is known. */
const REMEMBERED = 32;

/** An operator's change of the deployment, on top of the revision that it builds on: a whole document, or a named change. */
export interface DeploymentOperation {
  kind: 'deployment';
  base: number;
  doc?: unknown;
  change?: unknown;
}

/** How documents are read. */
export type DocumentReader = Pick<Dialect, 'deployment' | 'namedChange'>;

type Lists = Record<string, { name: string }[] | undefined>;

/** Makes a document from another by a named change of its lists. */
export function applyNamed(doc: object, change: NamedChange): object {
  const out = { ...doc, revision: change.revision } as Record<string, unknown>;
  for (const list of new Set([...Object.keys(change.remove), ...Object.keys(change.upsert)])) {
    const gone = new Set(change.remove[list]);
    const fresh = new Map<string, { name: string }>();
    for (const item of change.upsert[list] ?? []) fresh.set(item.name, item);
    const items: { name: string }[] = [];
    for (const item of (doc as Lists)[list] ?? []) {
      const now = fresh.get(item.name);
      if (now) items.push(now);
      else if (!gone.has(item.name)) items.push(item);
      fresh.delete(item.name);
    }
    out[list] = [...items, ...fresh.values()];
  }
  return out;
}

/** Works out the deployment that follows from a change and the one that stands; a fault of code `stands` says that the change was taken already. */
export function makeDeployment(
  op: DeploymentOperation,
  now: Numbered | undefined,
  reader: DocumentReader | undefined,
): Outcome<DeploymentValue> {
  const stands = now?.value as DeploymentValue | undefined;
  const sum = shortHash(JSON.stringify([op.change === undefined, op.doc ?? op.change]));
  function isSame(t: { sum: string }): boolean {
    return t.sum === sum;
  }
  if (!reader)
    return bad('apply', KEYS.deployment, 'no documents are read here', 'refused', 'bad-deployment');
  if (stands?.taken.some(isSame))
    return bad('apply', KEYS.deployment, 'was taken already', 'refused', 'stands');
  const revision = stands?.revision ?? 0;
  if (op.base !== revision)
    return bad(
      'apply',
      KEYS.deployment,
      `based on revision ${op.base}, but ${revision} stands`,
      'refused',
      'conflict',
    );
  const doc = wholeOf(op, stands, reader);
  const read = doc.chain(reader.deployment).chain(checked);
  function checked(d: Deployment): Either<string[], Deployment> {
    const faults = checkDeployment(d);
    if (d.revision <= revision) faults.push(`revision ${d.revision} is not above ${revision}`);
    return faults.length > 0 ? Left(faults) : Right(d);
  }
  if (read.isLeft())
    return bad(
      'apply',
      KEYS.deployment,
      (read.extract() as string[]).join('; '),
      'refused',
      'bad-deployment',
    );
  const fresh = (read.extract() as Deployment).revision;
  return Right({
    revision: fresh,
    doc: doc.extract(),
    taken: [...(stands?.taken ?? []), { revision: fresh, sum }].slice(-REMEMBERED),
  });
}

function wholeOf(
  op: DeploymentOperation,
  stands: DeploymentValue | undefined,
  reader: DocumentReader,
): Either<string[], unknown> {
  if (op.change === undefined) return Right(op.doc);
  if (!stands) return Left(['there is no deployment to change']);
  function apply(c: NamedChange): object {
    return applyNamed(stands!.doc as object, c);
  }
  return reader.namedChange(op.change).map(apply);
}
