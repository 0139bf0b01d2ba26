/**
 * Starts the background tasks of a controller: watching the platform's engines, loading and retiring weights, and
 * keeping up the set of voters.
 */

import { PlatformAdapter } from '../../shared/platform-adapter/platform-adapter';
import { Ports } from '../../shared/ports/ports';
import { Controller } from '../controller-interface';
import { watchEngineList } from './engine-list-watch';
import { retireOldWeights } from './old-weights-retirement';
import { orderWeights } from './weights-orders';
import { runWeightsRollout } from './weights-rollout';
import { requestMembership } from '../membership/join-requester';
import { maintainVoterSet } from '../membership/voter-set-controller';

/** Starts all background tasks of a controller; without an adapter, engines are driven by our own interface. */
export function startBackgroundTasks(
  controller: Controller,
  ports: Ports,
  adapter?: PlatformAdapter,
): void {
  void watchEngineList(controller, ports, adapter);
  if (adapter) void runWeightsRollout(controller, ports, adapter.engines);
  else {
    void orderWeights(controller, ports);
    void retireOldWeights(controller, ports);
  }
  void requestMembership(controller, ports);
  void maintainVoterSet(controller, ports);
}
