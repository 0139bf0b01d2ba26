/** The bootstrap of blank modelled nodes: the shipped code, taken a step at a time by an operator's script. */

import { ClusterBootstrap } from '../../src/control/membership/bootstrap';
import { IdentifyReply } from '../../src/control/membership/identify-reply';
import { RequestVoter } from '../../src/control/consensus/voter-request';
import { KeyOwner } from '../../src/control/consensus/key-owner';
import { ControlStore } from '../../src/control/storage/control-store';
import { Right } from 'purify-ts';
import { Result } from '../../src/shared/errors/errors';
import { Clock } from '../../src/shared/ports/clock';
import { Settings } from '../../src/shared/settings/settings';
import { TimeLimits } from '../../src/shared/settings/time-limits';
import { CONTROL_KEYS } from '../../src/shared/state/control-keys';
import { VersionedValue } from '../../src/shared/state/versions';
import { VoterSet } from '../../src/shared/state/voter-set';
import { rankByRendezvousHash } from '../../src/shared/util/hashing';

/** What a node's bootstrap needs. */
export interface FoundingDependencies {
  settings: Settings;
  timeLimits: TimeLimits;
  clock: Clock;
  store: ControlStore;
  keyOwner: KeyOwner;
  voters: () => VoterSet | undefined;
  liveAddresses: () => string[];
  identify: (address: string) => Promise<Result<IdentifyReply>>;
  requestVoter: RequestVoter;
}

/** One process's part in the bootstrap of a cluster. */
export class Founding {
  private readonly bootstrap: ClusterBootstrap;
  private steps = 0;

  constructor(private readonly dependencies: FoundingDependencies) {
    this.bootstrap = new ClusterBootstrap({
      ...dependencies,
      clock: { ...dependencies.clock, now: this.now.bind(this) },
      commitBootstrap: this.commit.bind(this),
    });
  }

  /** What a controller does at each round: it bootstraps where it is its turn, and announces what it has recorded. */
  async step(): Promise<void> {
    this.steps++;
    if (this.dependencies.voters() === undefined) await this.bootstrap.bootstrapIfReady();
    await this.bootstrap.announce();
  }

  /** Between two steps, the wait for absent founders passes. */
  private now(): number {
    return this.steps * this.dependencies.timeLimits.bootstrapWaitMs;
  }

  private async commit(founders: VoterSet): Promise<void> {
    const { keyOwner, liveAddresses, settings } = this.dependencies;
    function keepCommitted(committed: VersionedValue | undefined): Result<unknown> {
      return Right(committed?.value ?? founders);
    }
    if (rankByRendezvousHash(CONTROL_KEYS.voters, liveAddresses())[0] === settings.wire)
      await keyOwner.change(CONTROL_KEYS.voters, keepCommitted);
  }
}
