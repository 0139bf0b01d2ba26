/**
 * The bootstrap of a blank cluster: its founders become the first voter set.
 */

import { Left, Right } from 'purify-ts';
import { errorOrValue, Result } from '../../shared/errors/errors';
import { Clock } from '../../shared/ports/clock';
import { TimeLimits } from '../../shared/settings/time-limits';
import { Settings } from '../../shared/settings/settings';
import { Voter, VoterSet } from '../../shared/state/voter-set';
import { CONTROL_KEYS } from '../../shared/state/control-keys';
import { RequestVoter } from '../consensus/voter-request';
import { ControlStore } from '../storage/control-store';
import {
  checkDiskIntact,
  checkFounderQuorum,
  checkKnownVoters,
  precededByAnother,
  voterOfFounder,
} from './bootstrap-checks';
import { IdentifyReply } from './identify-reply';

/** What the bootstrap needs of its controller. */
export interface BootstrapDependencies {
  settings: Settings;
  timeLimits: TimeLimits;
  clock: Clock;
  store: ControlStore;
  voters: () => VoterSet | undefined;
  /** Asks the controller at an address for its disk and voter set. */
  identify: (address: string) => Promise<Result<IdentifyReply>>;
  requestVoter: RequestVoter;
  /** Commits the founders as the voter set, where this controller owns that key. */
  commitBootstrap: (founders: VoterSet) => Promise<void>;
}

/** What a founder showed as it was asked: one that does not answer may be blank. */
interface FounderProbe {
  address: string;
  mayBeBlank: boolean;
  mayBootstrap: boolean;
}

/** The bootstrap of a blank cluster by one of its founders. */
export class ClusterBootstrap {
  private readonly founders: readonly string[];
  /** Since when a majority of the founders is present, in ms of the clock port. */
  private quorumSince: number | undefined;

  constructor(private readonly dependencies: BootstrapDependencies) {
    this.founders = [...dependencies.settings.founders].sort();
  }

  /** Bootstraps without the founders at these addresses; refused where that is unsafe. */
  async bootstrap(absent: readonly string[]): Promise<Result<VoterSet>> {
    const { settings, store, voters } = this.dependencies;
    const known = voters();
    if (known) return checkKnownVoters(known, store.diskId);
    const [diskError] = errorOrValue(checkDiskIntact(store.diskId, store.isCorrupt));
    if (diskError) return Left(diskError);
    const sets = { ownAddress: settings.wire, founders: this.founders, absent };
    const [quorumError] = errorOrValue(checkFounderQuorum(settings.name, sets));
    if (quorumError) return Left(quorumError);
    const [founderError, now] = errorOrValue(await this.collectFounders(absent));
    if (founderError) return Left(founderError);
    if (voters()) return precededByAnother(settings.name);
    const [storeError] = errorOrValue(await store.recordBootstrap({ now }));
    return storeError ? Left(storeError) : Right({ now });
  }

  /**
   * Bootstraps where this start has leave to, and it is this founder's turn: the first address of those present. All
   * founders must be present, or, if the settings allow it, a majority for the bootstrap wait.
   */
  async bootstrapIfReady(): Promise<void> {
    const { settings, store } = this.dependencies;
    if (!settings.bootstrap || store.isCorrupt || !this.founders.includes(settings.wire)) return;
    if (!store.hasSyncedDiskId()) return;
    const probes = await Promise.all(this.probeFounders());
    if (!probes.every(mayBeBlank)) return;
    const present = probes.filter(mayBootstrap).map(addressOfProbe);
    this.noteQuorum(present.length * 2 > this.founders.length);
    if (present[0] !== settings.wire || !this.isTimeFor(present.length)) return;
    function isAbsent(address: string): boolean {
      return !present.includes(address);
    }
    await this.bootstrap(this.founders.filter(isAbsent));
  }

  /** Tells the other founders of the bootstrap that this disk recorded, until the voter set is committed. */
  async announce(): Promise<void> {
    const { store, requestVoter, commitBootstrap } = this.dependencies;
    const founders = store.bootstrapVoterSet() as VoterSet | undefined;
    if (!founders || store.registers.get(CONTROL_KEYS.voters)?.learned) return;
    await Promise.all(founders.now.map(announceTo));
    await commitBootstrap(founders);

    async function announceTo(founder: Voter): Promise<void> {
      if (founder.disk !== store.diskId) await requestVoter(founder, 'found', founders);
    }
  }

  /** Asks the other founders one after the other, and makes voters of all. */
  private async collectFounders(absent: readonly string[]): Promise<Result<Voter[]>> {
    const { settings, store, identify } = this.dependencies;
    const voters: Voter[] = [];
    for (const address of this.founders) {
      if (address === settings.wire) {
        voters.push({ disk: store.diskId, at: address });
        continue;
      }
      const reply = errorOrValue(await identify(address));
      const [error, voter] = errorOrValue(voterOfFounder(address, absent.includes(address), reply));
      if (error) return Left(error);
      voters.push(voter);
    }
    return Right(voters);
  }

  private probeFounders(): Promise<FounderProbe>[] {
    const probes: Promise<FounderProbe>[] = [];
    for (const address of this.founders) probes.push(this.probe(address));
    return probes;
  }

  private async probe(address: string): Promise<FounderProbe> {
    const { settings, identify } = this.dependencies;
    if (address === settings.wire) return { address, mayBeBlank: true, mayBootstrap: true };
    const [error, reply] = errorOrValue(await identify(address));
    if (error) return { address, mayBeBlank: true, mayBootstrap: false };
    return { address, mayBeBlank: reply.blank, mayBootstrap: reply.mayFound };
  }

  private noteQuorum(hasQuorum: boolean): void {
    if (!hasQuorum) this.quorumSince = undefined;
    else this.quorumSince ??= this.dependencies.clock.now();
  }

  private isTimeFor(presentCount: number): boolean {
    const { settings, clock, timeLimits } = this.dependencies;
    if (this.quorumSince === undefined) return false;
    if (presentCount === this.founders.length) return true;
    if (settings.foundBy === 'all') return false;
    return clock.now() - this.quorumSince >= timeLimits.bootstrapWaitMs;
  }
}

function mayBeBlank(probe: FounderProbe): boolean {
  return probe.mayBeBlank;
}

function mayBootstrap(probe: FounderProbe): boolean {
  return probe.mayBootstrap;
}

function addressOfProbe(probe: FounderProbe): string {
  return probe.address;
}
