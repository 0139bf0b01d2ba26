/**
 * The next value of a control key: what an operation makes of the committed one, or why it is refused. Pure functions,
 * one for each kind of operation; those that replace a value compare and set on its revision.
 */

import { Right } from 'purify-ts';
import { failure, Result } from '../../shared/errors/errors';
import { CONTROL_KEYS } from '../../shared/state/control-keys';
import { EvacuationsValue } from '../../shared/state/evacuations';
import { deriveSalts, Intents, IntentsValue } from '../../shared/state/intents';
import { VersionedValue } from '../../shared/state/versions';
import { VoterSet } from '../../shared/state/voter-set';
import { ANY_OLDER, NamedWeights } from '../../shared/state/weights';
import { computeDeployment, DocumentParser } from './deployment-change';
import { validateIntents } from './intents-validation';
import {
  EvacuationOperation,
  IntentsOperation,
  Operation,
  SingletonOperation,
  TenantKeyAddition,
  TenantKeyRemoval,
  TenantKeys,
  VotersOperation,
  WeightsNaming,
  WeightsRetirement,
} from './operations';
import { SingletonHolder } from './singleton-holder';

/**
 * Computes the next value of a key from an operation and the committed value. A refusal has the code `conflict` where
 * another change came first, `stands` where the operation was applied or superseded before, and `bad-...` where what it
 * brings is invalid. Documents of deployments are read by `parser`.
 */
export function computeNextValue(
  operation: Operation,
  committed: VersionedValue | undefined,
  parser?: DocumentParser,
): Result<unknown> {
  switch (operation.kind) {
    case 'intents':
      return replaceIntents(operation, committed);
    case 'key-add':
      return Right(addTenantKey(operation, committed));
    case 'key-drop':
      return Right(removeTenantKey(operation, committed));
    case 'weights':
      return nameWeights(operation, committed);
    case 'weights-end':
      return retireWeights(operation, committed);
    case 'deployment':
      return computeDeployment(operation, committed, parser);
    case 'engines':
      return Right(operation.engines);
    case 'duty':
      return acquireSingleton(operation, committed);
    case 'evacuation':
      return changeEvacuations(operation, committed);
    case 'voters':
      return replaceVoters(operation, committed);
  }
}

function replaceIntents(
  operation: IntentsOperation,
  committed: VersionedValue | undefined,
): Result<IntentsValue> {
  const revision = committed?.number ?? 0;
  if (operation.basedOn !== revision) {
    const reason = `based on revision ${operation.basedOn}, but ${revision} stands`;
    return failure('apply', CONTROL_KEYS.intents, reason, 'refused', 'conflict');
  }
  const document = validateIntents(operation.doc);
  if (document.isLeft())
    return failure('apply', CONTROL_KEYS.intents, 'the file has faults', 'refused', 'bad-intents');
  const before = committed?.value as IntentsValue | undefined;
  return Right(deriveSalts(document.extract() as Intents, before));
}

/** The keys of a tenant but for the one of an id. */
function otherKeys(
  operation: TenantKeyAddition | TenantKeyRemoval,
  committed: VersionedValue | undefined,
): TenantKeys['keys'] {
  function isOther(key: { id: string }): boolean {
    return key.id !== operation.id;
  }
  const before = committed?.value as TenantKeys | undefined;
  return before?.keys.filter(isOther) ?? [];
}

function addTenantKey(
  operation: TenantKeyAddition,
  committed: VersionedValue | undefined,
): TenantKeys {
  const { tenant, id, hash } = operation;
  return { tenant, keys: [...otherKeys(operation, committed), { id, hash }] };
}

function removeTenantKey(
  operation: TenantKeyRemoval,
  committed: VersionedValue | undefined,
): TenantKeys {
  return { tenant: operation.tenant, keys: otherKeys(operation, committed) };
}

/** Names weights. A ranked naming that is not above the highest one yet is superseded, or was applied; a naming without a rank keeps that of the one before. */
function nameWeights(
  operation: WeightsNaming,
  committed: VersionedValue | undefined,
): Result<NamedWeights> {
  const { model, weights } = operation;
  const before = committed?.value as NamedWeights | undefined;
  if (before?.rank !== undefined && operation.rank !== undefined && operation.rank <= before.rank) {
    const reason = `rank ${before.rank} is named already`;
    return failure('name weights', model, reason, 'refused', 'stands');
  }
  const rank = operation.rank ?? before?.rank;
  const ranked = rank === undefined ? {} : { rank };
  if (before?.weights === weights) return Right({ ...before, ...ranked });
  function isOther(older: string): boolean {
    return older !== weights;
  }
  const older = before ? [...before.older, before.weights] : [ANY_OLDER];
  return Right({ model, weights, older: older.filter(isOther), ...ranked });
}

function retireWeights(
  operation: WeightsRetirement,
  committed: VersionedValue | undefined,
): Result<NamedWeights> {
  const named = committed?.value as NamedWeights | undefined;
  if (!named)
    return failure(
      'end old weights',
      operation.model,
      'no weights are named',
      'refused',
      'conflict',
    );
  function isKept(weights: string): boolean {
    return !operation.ended.includes(weights);
  }
  return Right({ ...named, older: named.older.filter(isKept) });
}

/** Gives a singleton role to who asks for it. Its fencing token is the number of the change by which its holder acquired it. */
function acquireSingleton(
  operation: SingletonOperation,
  committed: VersionedValue | undefined,
): Result<SingletonHolder> {
  const { duty, holder, at, basedOn } = operation;
  const before = committed?.value as SingletonHolder | undefined;
  if (before?.holder === holder) return Right(before);
  const number = committed?.number ?? 0;
  if (at !== undefined && basedOn !== number)
    return failure('take duty', duty, `held by ${before?.holder}`, 'refused', 'conflict');
  return Right({ holder, at, fence: number + 1 });
}

/** Adds a zone to those that are evacuated, or removes it. An operation that was on its way while another was made is refused: it may be older. */
function changeEvacuations(
  { zone, evacuated, basedOn }: EvacuationOperation,
  committed: VersionedValue | undefined,
): Result<EvacuationsValue> {
  const before = committed?.value as EvacuationsValue | undefined;
  const zones = new Set(before?.zones);
  if (zones.has(zone) === evacuated) {
    const reason = evacuated ? 'the zone is evacuated already' : 'the zone is not evacuated';
    return failure('evacuate', zone, reason, 'refused', 'stands');
  }
  if (basedOn !== (committed?.number ?? 0))
    return failure('evacuate', zone, 'another change came first', 'refused', 'conflict');
  if (evacuated) zones.add(zone);
  else zones.delete(zone);
  return Right({ zones: [...zones].sort() });
}

function replaceVoters(
  operation: VotersOperation,
  committed: VersionedValue | undefined,
): Result<VoterSet> {
  if (operation.basedOn === (committed?.number ?? 0)) return Right(operation.voters);
  const reason = 'another change came first';
  return failure('change voters', CONTROL_KEYS.voters, reason, 'refused', 'conflict');
}
