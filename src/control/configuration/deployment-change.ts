import { Either, Left, Right } from 'purify-ts';
import { Deployment, DeploymentValue, NamedChange } from '../../shared/state/deployment';
import { PlatformAdapter } from '../../shared/platform-adapter/platform-adapter';
import { OperationError, makeError, Result } from '../../shared/errors/errors';
import { ConfigurationErrorCode } from '../../shared/errors/error-codes';
import { shortHash } from '../../shared/util/hashing';
import { CONTROL_KEYS } from '../../shared/state/control-keys';
import { VersionedValue } from '../../shared/state/versions';
import { validateDeployment } from './deployment-validation';
import {
  isOlderThanHistory,
  isAccepted,
  mayBeEvicted,
  readAcceptedChanges,
  recordAccepted,
  AcceptedChange,
} from './accepted-changes';

/** An operator's change of the deployment, on top of the revision that it builds on: a whole document, or a named change. */
export interface DeploymentOperation {
  kind: 'deployment';
  base: number;
  doc?: unknown;
  change?: unknown;
  /** The hash of the path and body as they were sent; earlier releases leave it out. */
  sum?: string;
}

/** Whether an order carries a whole document, or a named change of the one that stands. */
export type DeploymentChangeKind = 'replace' | 'update';

/** How documents are read. */
export type DocumentParser = Pick<PlatformAdapter, 'deployment' | 'namedChange'>;

type Lists = Record<string, { name: string }[] | undefined>;

/** Makes a document from another by a named change of its lists. */
export function applyNamedChange(doc: object, change: NamedChange): object {
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

function hashOrder(kind: DeploymentChangeKind, body: unknown): string {
  return shortHash(JSON.stringify([kind === 'replace', body]));
}

/** Makes an order of what an operator sent. It is hashed here, since some text does not stay the same on the way to the key's owner. */
export function makeDeploymentOperation(
  base: number,
  kind: DeploymentChangeKind,
  body: unknown,
): DeploymentOperation {
  const sum = hashOrder(kind, body);
  return kind === 'replace'
    ? { kind: 'deployment', base, doc: body, sum }
    : { kind: 'deployment', base, change: body, sum };
}

/** The hash of an order's path and body; with its base, it identifies the order. */
function sumOf(op: DeploymentOperation): string {
  if (op.sum !== undefined) return op.sum;
  return op.change === undefined ? hashOrder('replace', op.doc) : hashOrder('update', op.change);
}

function refusal(why: string, code: ConfigurationErrorCode): OperationError {
  return makeError('apply', CONTROL_KEYS.deployment, why, 'refused', code);
}

function refused<T>(why: string, code: ConfigurationErrorCode): Result<T> {
  return Left(refusal(why, code));
}

/** What identifies an order wherever and however often it is sent. */
export function operationIdentity(op: DeploymentOperation): string {
  return `${op.base} ${sumOf(op)}`;
}

/** The verdict on an order that needs no look into what it brings: it was taken already, or builds on what no longer stands. */
export function checkBaseRevision(
  op: DeploymentOperation,
  now: VersionedValue | undefined,
  reader: DocumentParser,
): OperationError | undefined {
  const stands = now?.value as DeploymentValue | undefined;
  const revision = stands?.revision ?? 0;
  const orders = readAcceptedChanges(stands);
  if (isAccepted(orders, op.base, sumOf(op))) return refusal('was taken already', 'stands');
  return op.base === revision ? undefined : refuseBase(op, revision, orders, reader);
}

/** Works out the deployment that follows from an order and the one that stands; a fault of code `stands` says that the order was taken already, and one of code `forgotten` that it may have been. */
export function computeDeployment(
  op: DeploymentOperation,
  now: VersionedValue | undefined,
  reader: DocumentParser | undefined,
): Result<DeploymentValue> {
  if (!reader) return refused('no documents are read here', 'bad-deployment');
  const stands = now?.value as DeploymentValue | undefined;
  const revision = stands?.revision ?? 0;
  const orders = readAcceptedChanges(stands);
  const verdict = checkBaseRevision(op, now, reader);
  if (verdict) return Left(verdict);
  const doc = wholeOf(op, stands, reader);
  const read = doc.chain(reader.deployment).chain(checked);
  function checked(d: Deployment): Either<string[], Deployment> {
    const faults = validateDeployment(d);
    if (d.revision <= revision) faults.push(`revision ${d.revision} is not above ${revision}`);
    return faults.length > 0 ? Left(faults) : Right(d);
  }
  if (read.isLeft()) return refused(read.extract().join('; '), 'bad-deployment');
  const fresh = (read.extract() as Deployment).revision;
  return Right({
    revision: fresh,
    doc: doc.extract(),
    taken: recordAccepted(orders, { revision: fresh, base: op.base, sum: sumOf(op) }),
  });
}

/** Refuses an order whose base is not what stands; one that may have been taken before all that is remembered is left open. */
function refuseBase(
  op: DeploymentOperation,
  revision: number,
  orders: AcceptedChange[],
  reader: DocumentParser,
): OperationError {
  const conflict = `based on revision ${op.base}, but ${revision} stands`;
  if (!isOlderThanHistory(orders, op.base)) return refusal(conflict, 'conflict');
  const own = revisionOf(op, reader);
  if (own.isLeft()) return refusal(own.extract().join('; '), 'bad-deployment');
  const why = `${conflict}; it may have been taken`;
  return mayBeEvicted(orders, op.base, own.extract() as number)
    ? makeError('apply', CONTROL_KEYS.deployment, why, 'unknown', 'forgotten')
    : refusal(conflict, 'conflict');
}

/** The revision that an order brings, read without its base; the faults of one that is invalid on any base. */
function revisionOf(op: DeploymentOperation, reader: DocumentParser): Either<string[], number> {
  function ofChange(change: NamedChange): number {
    return change.revision;
  }
  function ofDocument(document: Deployment): Either<string[], number> {
    const faults = validateDeployment(document);
    return faults.length > 0 ? Left(faults) : Right(document.revision);
  }
  return op.change === undefined
    ? reader.deployment(op.doc).chain(ofDocument)
    : reader.namedChange(op.change).map(ofChange);
}

function wholeOf(
  op: DeploymentOperation,
  stands: DeploymentValue | undefined,
  reader: DocumentParser,
): Either<string[], unknown> {
  if (op.change === undefined) return Right(op.doc);
  if (!stands) return Left(['there is no deployment to change']);
  function apply(c: NamedChange): object {
    return applyNamedChange(stands!.doc as object, c);
  }
  return reader.namedChange(op.change).map(apply);
}
