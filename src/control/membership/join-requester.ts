/**
 * The request of a controller to become a voter.
 */

import { Ports } from '../../shared/ports/ports';
import { allVoters, isVoter, Voter } from '../../shared/state/voter-set';
import { Controller } from '../controller-interface';
import { waitForNextRound } from '../maintenance-pause';

/** Asks the voters again and again to take this disk in, while this node should vote and does not. */
export async function requestMembership(controller: Controller, ports: Ports): Promise<void> {
  const { store, settings, timeLimits } = controller;
  const self: Voter = { disk: store.diskId, at: settings.wire };
  const waker = controller.addWaker();
  while (!controller.isStopped()) {
    const voters = controller.voters();
    if (isEligible(controller, self) && voters && !isVoter(voters, self.disk))
      for (const voter of allVoters(voters))
        void controller.requestVoter(voter, 'join', self, timeLimits.requestTimeoutMs);
    await waitForNextRound(waker, timeLimits, ports.random);
  }
}

/** Whether this node may vote: it is configured to, its disk takes writes, and it does not leave. */
function isEligible(controller: Controller, self: Voter): boolean {
  const { settings, store, votes, isLeaving } = controller;
  return settings.quorumMember && store.isWritable() && votes.isWritable() && !isLeaving(self);
}
