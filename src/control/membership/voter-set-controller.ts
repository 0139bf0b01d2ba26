/**
 * The control loop of the voter set: keeps it at its size, and replaces voters whose machines are gone.
 */

import { errorOrValue } from '../../shared/errors/errors';
import { Ports } from '../../shared/ports/ports';
import { addressOf, allVoters, Voter, VoterSet } from '../../shared/state/voter-set';
import { CONTROL_KEYS } from '../../shared/state/control-keys';
import { Controller } from '../controller-interface';
import { waitForNextRound } from '../maintenance-pause';
import { newVotersOf, NEW_VOTER_UNWRITABLE } from './joint-set-completion';
import { changeVoterSet, revertVoterSet } from './reconfiguration';
import { makeReconfigurationProgress } from './reconfiguration-progress';
import { VoterHealthTracker } from './voter-health';
import { planVoterSet } from './voter-set-plan';

/**
 * Has the voter set follow the machines, while this node owns it. A joint set that another node left is completed, or
 * reverted where its new voters are gone.
 */
export function maintainVoterSet(controller: Controller, ports: Ports): Promise<void> {
  return new VoterSetController(controller, ports).run();
}

/** What a round does with the voter set. */
type Decision = { kind: 'wait' } | { kind: 'revert' } | { kind: 'change'; target: Voter[] };

class VoterSetController {
  private readonly health: VoterHealthTracker;
  private readonly progress = makeReconfigurationProgress();

  constructor(
    private readonly controller: Controller,
    private readonly ports: Ports,
  ) {
    const { isUp, isLeaving, hasOtherDisk, timeLimits } = controller;
    const { clock } = ports;
    this.health = new VoterHealthTracker({ isUp, isLeaving, hasOtherDisk, timeLimits, clock });
  }

  /** Reconciles in rounds until the controller is stopped; the round after a change follows at once. */
  async run(): Promise<void> {
    const { controller, ports } = this;
    const waker = controller.addWaker();
    while (!controller.isStopped()) {
      await waitForNextRound(waker, controller.timeLimits, ports.random);
      if (!this.observeVoters() || !this.shouldOwnVoterSet()) continue;
      const [ownerError] = errorOrValue(await controller.keyOwner.acquire(CONTROL_KEYS.voters));
      const committed = controller.committedValue<VoterSet>(CONTROL_KEYS.voters);
      if (ownerError || !committed) continue;
      const { now } = committed.value;
      const decision = this.decide(committed.value);
      if (decision.kind === 'revert') await revertVoterSet(controller, committed);
      if (decision.kind !== 'change') continue;
      const { target } = decision;
      if (!(await this.areDropsConfirmed(now, target))) continue;
      this.logChange(now, target);
      const isOverdue = this.isJointSetOverdue.bind(this);
      const [error] = errorOrValue(
        await changeVoterSet(controller, ports, target, isOverdue, this.progress),
      );
      if (!error) {
        waker.wake();
        continue;
      }
      ports.logger.warn(
        { event: 'voters.change-failed', step: error.step, peer: error.peer },
        error.reason,
      );
      if (error.code === NEW_VOTER_UNWRITABLE) await this.rejectNewVoters(newVotersOf(now, target));
    }
  }

  /** Notes the health and the zones of the voters; false where none are known. */
  private observeVoters(): boolean {
    const voters = this.controller.voters();
    if (voters) this.health.observe(voters);
    for (const voter of voters ? allVoters(voters) : []) this.controller.zoneOf(voter);
    return voters !== undefined;
  }

  private shouldOwnVoterSet(): boolean {
    return this.controller.isPreferredOwner(CONTROL_KEYS.voters) && this.controller.hasQuorum();
  }

  /** A joint set is completed once its new voters are up, and reverted where one of them is gone. */
  private decide({ now, next }: VoterSet): Decision {
    if (next && this.hasUnreachableNewVoter(now, next))
      return { kind: this.hasGoneNewVoter(now, next) ? 'revert' : 'wait' };
    const target = next ?? this.plan(now);
    return target ? { kind: 'change', target } : { kind: 'wait' };
  }

  private hasUnreachableNewVoter(now: Voter[], next: Voter[]): boolean {
    const { isUp } = this.controller;
    function isUnreachable(voter: Voter): boolean {
      return !isUp(voter);
    }
    return newVotersOf(now, next).some(isUnreachable);
  }

  private hasGoneNewVoter(now: Voter[], next: Voter[]): boolean {
    const { health } = this;
    function isGone(voter: Voter): boolean {
      return health.isGone(voter);
    }
    return newVotersOf(now, next).some(isGone);
  }

  private plan(now: readonly Voter[]): Voter[] | undefined {
    const { isUp, membershipRequests, settings, zoneOf } = this.controller;
    const { health } = this;
    function healthOf(voter: Voter): ReturnType<VoterHealthTracker['healthOf']> {
      return health.healthOf(voter);
    }
    const candidates = membershipRequests.candidates().filter(isUp);
    return planVoterSet(now, candidates, healthOf, settings.tolerated * 2 + 1, {
      zones: { toleratedZones: settings.toleratedZones, zoneOf },
      isLostForLong: health.isLostForLong.bind(health),
    });
  }

  /** Whether the other voters don't reach those either that are dropped because they only seem to be lost. */
  private async areDropsConfirmed(
    now: readonly Voter[],
    target: readonly Voter[],
  ): Promise<boolean> {
    const { isUp, requestVoter, timeLimits } = this.controller;
    const { health } = this;
    function isDroppedAsLost(voter: Voter): boolean {
      return !target.includes(voter) && health.healthOf(voter) === 'lost';
    }
    const dropped = now.filter(isDroppedAsLost);
    if (dropped.length === 0) return true;
    for (const voter of now.filter(isUp)) {
      const [error, isOneUp] = errorOrValue(
        await requestVoter(voter, 'sees', dropped, timeLimits.requestTimeoutMs),
      );
      if (!error && (isOneUp as boolean)) return false;
    }
    return true;
  }

  private logChange(now: readonly Voter[], target: readonly Voter[]): void {
    this.ports.logger.warn(
      { event: 'voters.set-changing', peer: this.controller.name },
      `voters ${now.map(addressOf).join(' ')} become ${target.map(addressOf).join(' ')}`,
    );
  }

  /** Reverts a joint set whose new voters' disks take no writes; they ask again once they do. */
  private async rejectNewVoters(newVoters: readonly Voter[]): Promise<void> {
    const { controller } = this;
    for (const voter of newVoters) controller.membershipRequests.discard(voter);
    const committed = controller.committedValue<VoterSet>(CONTROL_KEYS.voters);
    if (committed?.value.next) await revertVoterSet(controller, committed);
  }

  /** Whether a joint set has been in force for longer than the repair of a disk may take. */
  private isJointSetOverdue(): boolean {
    return this.controller.jointForMs() > this.controller.timeLimits.diskRepairMs;
  }
}
