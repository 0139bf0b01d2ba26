/**
 * Keeps the voter set at its size and off machines that are gone.
 */

import { errorOrValue } from '../../shared/errors/errors';
import { Ports } from '../../shared/ports/ports';
import { allVoters, addressOf, isVoter, Voter, VoterSet } from '../../shared/state/voter-set';
import { CONTROL_KEYS } from '../../shared/state/control-keys';
import { Controller } from '../controller-interface';
import {
  makeReconfigurationProgress,
  changeVoterSet,
  NEW_VOTER_UNWRITABLE,
  revertVoterSet,
} from './reconfiguration';
import { VoterHealth, planVoterSet } from './voter-set-plan';

/** Asks the voters to take this disk in, for as long as it is a quorum member's that does not vote. */
export async function requestMembership(c: Controller, ports: Ports): Promise<void> {
  const waker = c.addWaker();
  while (!c.isStopped()) {
    const v = c.voters();
    const self: Voter = { disk: c.store.diskId, at: c.settings.wire };
    const wants =
      c.settings.quorumMember && c.store.isWritable() && c.votes.isWritable() && !c.isLeaving(self);
    if (wants && v && !isVoter(v, self.disk))
      for (const x of allVoters(v))
        void c.requestVoter(x, 'join', self, c.timeLimits.requestTimeoutMs);
    await waker.wait(
      c.timeLimits.leaseRenewalMs * (0.8 + 0.4 * ports.random.next()),
      c.timeLimits.retryPauseMs * 0.1,
    );
  }
}

/** Has the voter set follow the machines, while this node owns it; a joint set that another left is brought to its end, or back where its newcomers are gone. */
export async function maintainVoterSet(c: Controller, ports: Ports): Promise<void> {
  const waker = c.addWaker();
  const awaySince = new Map<string, number>();
  const progress = makeReconfigurationProgress();
  while (!c.isStopped()) {
    await waker.wait(
      c.timeLimits.leaseRenewalMs * (0.8 + 0.4 * ports.random.next()),
      c.timeLimits.retryPauseMs * 0.1,
    );
    const v = c.voters();
    if (!v) continue;
    note(v);
    if (!c.isPreferredOwner(CONTROL_KEYS.voters) || !c.hasQuorum()) continue;
    const [f] = errorOrValue(await c.keyOwner.acquire(CONTROL_KEYS.voters));
    const stood = c.committedValue<VoterSet>(CONTROL_KEYS.voters);
    if (f || !stood) continue;
    const { now, next } = stood.value;
    const fresh = next?.filter(isNewcomer) ?? [];
    function isNewcomer(x: Voter): boolean {
      return !isVoter({ now }, x.disk);
    }
    if (next && fresh.some(isAway)) {
      if (fresh.some(isOver)) await revertVoterSet(c, stood);
      continue;
    }
    const set =
      next ??
      planVoterSet(
        now,
        c.membershipRequests.candidates().filter(isUp),
        standing,
        c.settings.tolerated * 2 + 1,
      );
    if (!set || !(await othersAgree(now, set))) continue;
    ports.logger.warn(
      { step: 'follow machines', peer: c.name },
      `voters ${now.map(addressOf).join(' ')} become ${set.map(addressOf).join(' ')}`,
    );
    const [g] = errorOrValue(await changeVoterSet(c, ports, set, isOverdue, progress));
    if (!g) {
      waker.wake();
      continue;
    }
    ports.logger.warn({ step: g.step, peer: g.peer }, g.reason);
    if (g.code === NEW_VOTER_UNWRITABLE) await refuse(set.filter(isNewcomer));
  }

  /** Goes back from a joint set whose newcomers' disks take no writes; they ask again once they do. */
  async function refuse(newcomers: readonly Voter[]): Promise<void> {
    newcomers.forEach(forget);
    const stood = c.committedValue<VoterSet>(CONTROL_KEYS.voters);
    if (stood?.value.next) await revertVoterSet(c, stood);
  }

  function forget(x: Voter): void {
    c.membershipRequests.discard(x);
  }

  /** Whether a joint set has stood for longer than the repair of a disk may take. */
  function isOverdue(): boolean {
    return c.jointForMs() > c.timeLimits.diskRepairMs;
  }

  function note(v: VoterSet): void {
    const t = ports.clock.now();
    for (const x of allVoters(v)) {
      if (c.isUp(x)) awaySince.delete(x.disk);
      else if (!awaySince.has(x.disk)) awaySince.set(x.disk, t);
    }
  }

  function awayFor(x: Voter): number {
    const since = awaySince.get(x.disk);
    return since === undefined ? 0 : ports.clock.now() - since;
  }

  function isUp(x: Voter): boolean {
    return c.isUp(x);
  }

  function isAway(x: Voter): boolean {
    return !c.isUp(x);
  }

  function isOver(x: Voter): boolean {
    return c.hasOtherDisk(x) || awayFor(x) > c.timeLimits.voterLostAfterMs;
  }

  function standing(x: Voter): VoterHealth {
    if (c.hasOtherDisk(x)) return 'emptied';
    if (c.isLeaving(x)) return 'leaving';
    if (c.isUp(x)) return 'here';
    return awayFor(x) > c.timeLimits.voterLostAfterMs ? 'lost' : 'away';
  }

  /** Whether the other voters miss those that only seem to be lost, too. */
  async function othersAgree(now: readonly Voter[], set: readonly Voter[]): Promise<boolean> {
    function isDropped(x: Voter): boolean {
      return !set.includes(x) && standing(x) === 'lost';
    }
    const dropped = now.filter(isDropped);
    if (dropped.length === 0) return true;
    for (const x of now.filter(isUp)) {
      const [f, up] = errorOrValue(
        await c.requestVoter(x, 'sees', dropped, c.timeLimits.requestTimeoutMs),
      );
      if (!f && (up as boolean)) return false;
    }
    return true;
  }
}
