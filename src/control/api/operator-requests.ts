/**
 * The bodies of the operators' HTTP requests. The field names are part of the interface.
 */

import { bodyField } from '../../shared/transport/body-fields';

/** Applies intents on the revision that they are based on; with `dryRun`, only checks them. */
export class ApplyIntentsRequest {
  @bodyField('number') basedOn!: number;
  @bodyField('object') intents!: object;
  @bodyField('boolean', false) dryRun?: boolean;
}

/** Names the weights of a model. */
export class NameWeightsRequest {
  @bodyField('string') weights!: string;
}

/** Replaces the voter `out`, an address or a disk, by the controller at the address `into`. */
export class ReplaceVoterRequest {
  @bodyField('string') out!: string;
  @bodyField('string') into!: string;
}

/** Bootstraps a cluster without the founders at some addresses. */
export class BootstrapRequest {
  @bodyField('list') without!: string[];
}
