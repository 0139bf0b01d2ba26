/**
 * Operators' orders that change the deployment: the verdict on an order by the revision that it builds on, and the
 * deployment that follows from it. An order that is sent again is recognized among those that were accepted last.
 */

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
import { applyNamedChange } from './named-change';

/** An operator's change of the deployment, on top of the revision that it builds on: a whole document, or a named change. The field names are sent. */
export interface DeploymentOperation {
  kind: 'deployment';
  base: number;
  doc?: unknown;
  change?: unknown;
  /** The hash of the path and body as they were sent; earlier releases leave it out. */
  sum?: string;
}

/** Whether an order carries a whole document, or a named change of the committed one. */
export type DeploymentChangeKind = 'replace' | 'update';

/** How documents are read. */
export type DocumentParser = Pick<PlatformAdapter, 'deployment' | 'namedChange'>;

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
function hashOf(operation: DeploymentOperation): string {
  const { sum, doc, change } = operation;
  if (sum !== undefined) return sum;
  return change === undefined ? hashOrder('replace', doc) : hashOrder('update', change);
}

/** What identifies an order wherever and however often it is sent. */
export function operationIdentity(operation: DeploymentOperation): string {
  return `${operation.base} ${hashOf(operation)}`;
}

function refusal(reason: string, code: ConfigurationErrorCode): OperationError {
  return makeError('apply', CONTROL_KEYS.deployment, reason, 'refused', code);
}

function invalid(violations: readonly string[]): OperationError {
  return refusal(violations.join('; '), 'bad-deployment');
}

function deploymentOf(committed: VersionedValue | undefined): DeploymentValue | undefined {
  return committed?.value as DeploymentValue | undefined;
}

/** The verdict on an order that needs no look into what it brings: it was accepted already, or builds on a revision that is not the committed one. */
export function checkBaseRevision(
  operation: DeploymentOperation,
  committed: VersionedValue | undefined,
  parser: DocumentParser,
): OperationError | undefined {
  const deployment = deploymentOf(committed);
  const revision = deployment?.revision ?? 0;
  const history = readAcceptedChanges(deployment);
  if (isAccepted(history, operation.base, hashOf(operation)))
    return refusal('was taken already', 'stands');
  return operation.base === revision ? undefined : refuseBase(operation, revision, history, parser);
}

/** Refuses an order on another base than the committed revision; one that may have been accepted before all that is remembered is left open. */
function refuseBase(
  operation: DeploymentOperation,
  revision: number,
  history: AcceptedChange[],
  parser: DocumentParser,
): OperationError {
  const { base } = operation;
  const conflict = `based on revision ${base}, but ${revision} stands`;
  if (!isOlderThanHistory(history, base)) return refusal(conflict, 'conflict');
  const own = revisionOf(operation, parser);
  if (own.isLeft()) return invalid(own.extract());
  if (!mayBeEvicted(history, base, own.extract() as number)) return refusal(conflict, 'conflict');
  const reason = `${conflict}; it may have been taken`;
  return makeError('apply', CONTROL_KEYS.deployment, reason, 'unknown', 'forgotten');
}

/** The revision that an order brings, read without its base; the violations of one that is invalid on any base. */
function revisionOf(
  operation: DeploymentOperation,
  parser: DocumentParser,
): Either<string[], number> {
  function ofChange(change: NamedChange): number {
    return change.revision;
  }
  function ofDocument(deployment: Deployment): Either<string[], number> {
    const violations = validateDeployment(deployment);
    return violations.length > 0 ? Left(violations) : Right(deployment.revision);
  }
  return operation.change === undefined
    ? parser.deployment(operation.doc).chain(ofDocument)
    : parser.namedChange(operation.change).map(ofChange);
}

/**
 * Computes the deployment that follows from an order and the committed one. An error of code `stands` says that the
 * order was accepted already, and one of code `forgotten` that it may have been.
 */
export function computeDeployment(
  operation: DeploymentOperation,
  committed: VersionedValue | undefined,
  parser: DocumentParser | undefined,
): Result<DeploymentValue> {
  if (!parser) return Left(refusal('no documents are read here', 'bad-deployment'));
  const verdict = checkBaseRevision(operation, committed, parser);
  if (verdict) return Left(verdict);
  const before = deploymentOf(committed);
  const document = documentOf(operation, before, parser);
  const read = document.chain(parser.deployment).chain(checkNext);
  if (read.isLeft()) return Left(invalid(read.extract()));
  const { revision } = read.extract() as Deployment;
  const accepted = { revision, base: operation.base, sum: hashOf(operation) };
  const taken = recordAccepted(readAcceptedChanges(before), accepted);
  return Right({ revision, doc: document.extract(), taken });

  function checkNext(deployment: Deployment): Either<string[], Deployment> {
    return validateNext(deployment, before?.revision ?? 0);
  }
}

function validateNext(deployment: Deployment, revision: number): Either<string[], Deployment> {
  const violations = validateDeployment(deployment);
  if (deployment.revision <= revision)
    violations.push(`revision ${deployment.revision} is not above ${revision}`);
  return violations.length > 0 ? Left(violations) : Right(deployment);
}

/** The document that an order makes: its own, or the committed one with its named change. */
function documentOf(
  operation: DeploymentOperation,
  before: DeploymentValue | undefined,
  parser: DocumentParser,
): Either<string[], unknown> {
  if (operation.change === undefined) return Right(operation.doc);
  if (!before) return Left(['there is no deployment to change']);
  const document = before.doc as object;
  function apply(change: NamedChange): object {
    return applyNamedChange(document, change);
  }
  return parser.namedChange(operation.change).map(apply);
}
