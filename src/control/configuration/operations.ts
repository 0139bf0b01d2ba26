/**
 * The changes of the control state that operators and background tasks ask for, and the control key that each one
 * changes. The kinds and field names are sent.
 */

import { CONTROL_KEYS } from '../../shared/state/control-keys';
import { Engine } from '../../shared/state/engines';
import { VoterSet } from '../../shared/state/voter-set';
import { DeploymentOperation } from './deployment-change';

/** The hashes of one tenant's keys. */
export interface TenantKeys {
  tenant: string;
  keys: { id: string; hash: string }[];
}

/** Replaces the operators' intents, on top of the revision `basedOn`. */
export interface IntentsOperation {
  kind: 'intents';
  basedOn: number;
  doc: unknown;
}

/** Adds a key of a tenant, or replaces the one of the same id. */
export interface TenantKeyAddition {
  kind: 'key-add';
  tenant: string;
  id: string;
  hash: string;
}

/** Removes a key of a tenant. */
export interface TenantKeyRemoval {
  kind: 'key-drop';
  tenant: string;
  id: string;
}

/** Names the weights that a model's engines are brought to; `rank` is the operators' rising number. */
export interface WeightsNaming {
  kind: 'weights';
  model: string;
  weights: string;
  rank?: number;
}

/** Retires older weights of a model: no engine is expected to have them any more. */
export interface WeightsRetirement {
  kind: 'weights-end';
  model: string;
  ended: string[];
}

/** Replaces the list of the platform's engines. */
export interface EnginesOperation {
  kind: 'engines';
  engines: Engine[];
}

/** Acquires a singleton role (`duty`), or confirms that its holder still has it. */
export interface SingletonOperation {
  kind: 'duty';
  duty: string;
  holder: string;
  /** The holder's address; none where the role is of an earlier kind that anyone may take at once. */
  at?: string;
  /** The number of the last change of the role that the node has seen; none from the present holder. */
  basedOn?: number;
}

/** Starts the evacuation of a zone, or finishes it, on top of the number `basedOn`. */
export interface EvacuationOperation {
  kind: 'evacuation';
  zone: string;
  evacuated: boolean;
  basedOn: number;
}

/** Replaces the set of voters, on top of the number `basedOn`. */
export interface VotersOperation {
  kind: 'voters';
  voters: VoterSet;
  basedOn: number;
}

/** A change as operators or background tasks ask for it. */
export type Operation =
  | IntentsOperation
  | TenantKeyAddition
  | TenantKeyRemoval
  | WeightsNaming
  | DeploymentOperation
  | WeightsRetirement
  | EnginesOperation
  | SingletonOperation
  | EvacuationOperation
  | VotersOperation;

/** The control key that an operation changes. */
export function controlKeyOf(operation: Operation): string {
  switch (operation.kind) {
    case 'intents':
      return CONTROL_KEYS.intents;
    case 'key-add':
    case 'key-drop':
      return CONTROL_KEYS.tenantKeys + operation.tenant;
    case 'weights':
    case 'weights-end':
      return CONTROL_KEYS.weights + operation.model;
    case 'deployment':
      return CONTROL_KEYS.deployment;
    case 'engines':
      return CONTROL_KEYS.engines;
    case 'duty':
      return CONTROL_KEYS.duty + operation.duty;
    case 'evacuation':
      return CONTROL_KEYS.evacuations;
    case 'voters':
      return CONTROL_KEYS.voters;
  }
}
