import { Left, Right } from 'purify-ts';
import { failure, makeError, Result } from '../../shared/errors/errors';
import { NamedWeights } from '../../shared/state/weights';
import { Engine } from '../../shared/state/engines';
import { Intents, IntentsValue, deriveSalts } from '../../shared/state/intents';
import { CONTROL_KEYS } from '../../shared/state/control-keys';
import { VersionedValue } from '../../shared/state/versions';
import { VoterSet } from '../../shared/state/voter-set';
import { DeploymentOperation, DocumentParser, computeDeployment } from './deployment-change';
import { validateIntents } from './intents-validation';
import { SingletonHolder } from './singleton-holder';

/** The hashes of one tenant's keys. */
export interface TenantKeys {
  tenant: string;
  keys: { id: string; hash: string }[];
}

/** Names the weights that a model's engines are brought to; `rank` is the operators' rising number. */
export interface WeightsNaming {
  kind: 'weights';
  model: string;
  weights: string;
  rank?: number;
}

/** A change as operators or duties ask for it. */
export type Operation =
  | { kind: 'intents'; basedOn: number; doc: unknown }
  | { kind: 'key-add'; tenant: string; id: string; hash: string }
  | { kind: 'key-drop'; tenant: string; id: string }
  | WeightsNaming
  | DeploymentOperation
  | { kind: 'weights-end'; model: string; ended: string[] }
  | { kind: 'engines'; engines: Engine[] }
  | { kind: 'duty'; duty: string; holder: string; at?: string; basedOn?: number }
  | { kind: 'voters'; voters: VoterSet; basedOn: number };

/** The control key that an operation changes. */
export function controlKeyOf(op: Operation): string {
  switch (op.kind) {
    case 'intents':
      return CONTROL_KEYS.intents;
    case 'key-add':
    case 'key-drop':
      return CONTROL_KEYS.tenantKeys + op.tenant;
    case 'weights':
    case 'weights-end':
      return CONTROL_KEYS.weights + op.model;
    case 'deployment':
      return CONTROL_KEYS.deployment;
    case 'engines':
      return CONTROL_KEYS.engines;
    case 'duty':
      return CONTROL_KEYS.duty + op.duty;
    case 'voters':
      return CONTROL_KEYS.voters;
  }
}

function keep<T>(now: VersionedValue | undefined, fresh: T): T {
  return (now?.value as T | undefined) ?? fresh;
}

/** Names weights. A ranked naming that is not above the highest one yet is superseded, or was taken; a naming without a rank keeps that of the one before. */
function nameWeights(op: WeightsNaming, now: VersionedValue | undefined): Result<NamedWeights> {
  const v = now?.value as NamedWeights | undefined;
  if (v?.rank !== undefined && op.rank !== undefined && op.rank <= v.rank)
    return failure(
      'name weights',
      op.model,
      `rank ${v.rank} is named already`,
      'refused',
      'stands',
    );
  const rank = op.rank ?? v?.rank;
  const ranked = rank === undefined ? {} : { rank };
  if (v?.weights === op.weights) return Right({ ...v, ...ranked });
  const before = v ? [...v.older, v.weights] : ['*'];
  function isOther(weights: string): boolean {
    return weights !== op.weights;
  }
  return Right({
    model: op.model,
    weights: op.weights,
    older: before.filter(isOther),
    ...ranked,
  });
}

/** Works out the new value of a key from an operation and the value that stands. */
export function computeNextValue(
  op: Operation,
  now: VersionedValue | undefined,
  reader?: DocumentParser,
): Result<unknown> {
  switch (op.kind) {
    case 'intents': {
      const at = now?.number ?? 0;
      if (op.basedOn !== at)
        return failure(
          'apply',
          CONTROL_KEYS.intents,
          `based on revision ${op.basedOn}, but ${at} stands`,
          'refused',
          'conflict',
        );
      const o = validateIntents(op.doc);
      if (o.isLeft())
        return Left(
          makeError('apply', CONTROL_KEYS.intents, 'the file has faults', 'refused', 'bad-intents'),
        );
      return Right(deriveSalts(o.extract() as Intents, now?.value as IntentsValue | undefined));
    }
    case 'key-add': {
      const v = keep<TenantKeys>(now, { tenant: op.tenant, keys: [] });
      return Right({
        tenant: op.tenant,
        keys: [...v.keys.filter(other), { id: op.id, hash: op.hash }],
      });
    }
    case 'key-drop': {
      const v = keep<TenantKeys>(now, { tenant: op.tenant, keys: [] });
      return Right({ tenant: op.tenant, keys: v.keys.filter(other) });
    }
    case 'weights':
      return nameWeights(op, now);
    case 'weights-end': {
      const v = now?.value as NamedWeights | undefined;
      function stays(w: string): boolean {
        return op.kind === 'weights-end' && !op.ended.includes(w);
      }
      if (!v)
        return failure('end old weights', op.model, 'no weights are named', 'refused', 'conflict');
      return Right({ ...v, older: v.older.filter(stays) });
    }
    case 'deployment':
      return computeDeployment(op, now, reader);
    case 'engines':
      return Right(op.engines);
    case 'duty': {
      const v = now?.value as SingletonHolder | undefined;
      if (v?.holder === op.holder) return Right(v);
      const at = now?.number ?? 0;
      if (op.at !== undefined && op.basedOn !== at)
        return failure('take duty', op.duty, `held by ${v?.holder}`, 'refused', 'conflict');
      return Right({ holder: op.holder, at: op.at, fence: at + 1 });
    }
    case 'voters': {
      if (op.basedOn !== (now?.number ?? 0))
        return failure(
          'change voters',
          CONTROL_KEYS.voters,
          'another change came first',
          'refused',
          'conflict',
        );
      return Right(op.voters);
    }
  }
  function other(k: { id: string }): boolean {
    return (op.kind !== 'key-add' && op.kind !== 'key-drop') || k.id !== op.id;
  }
}
