/** The part of the registers that each voter's disk plays. */

import { Left, Right } from 'purify-ts';
import { Delta, readDelta, shareUnchanged } from '../../shared/replication/delta';
import { bodyField } from '../../shared/transport/body-fields';
import { HandlerResult, messageHandler } from '../../shared/transport/message-handlers';
import { failure, errorOrValue, Result } from '../../shared/errors/errors';
import { Ports } from '../../shared/ports/ports';
import {
  compareEpochs,
  compareVersions,
  VersionedValue,
  Version,
} from '../../shared/state/versions';
import { isVoter, Voter, VoterSet } from '../../shared/state/voter-set';
import { CONTROL_KEYS } from '../../shared/state/control-keys';
import { ControlStore } from '../storage/control-store';

/** How the registers reach the other voters; `by` tells this life of this node from every other. */
export interface VoterTransport {
  ownerId: string;
  timeoutMs: number;
  voters: () => VoterSet | undefined;
  request: (v: Voter, type: string, body: unknown, within: number) => Promise<Result<unknown>>;
  onLearned: (n: VersionedValue, before?: VersionedValue) => void;
  learnLocally: (n: VersionedValue) => Promise<unknown>;
}

class PrepareRequest {
  @bodyField('string') key!: string;
  @bodyField('number') epoch!: number;
  @bodyField('string') by!: string;
  @bodyField('object', false) voters?: Version;
}

class AcceptRequest {
  @bodyField('object') change!: VersionedValue;
  @bodyField('object', false) voters?: Version;
}

class AcceptDeltaRequest {
  @bodyField('object') delta!: Delta;
  @bodyField('object', false) voters?: Version;
}

class LearnAcceptedRequest {
  @bodyField('object') place!: Version & { key: string };
}

class LearnRequest {
  @bodyField('object') change!: VersionedValue;
}

/** What a voter answers to a prepare or an accept. */
export interface AcceptorReply {
  ok: boolean;
  seen: { epoch: number; by: string };
  accepted?: VersionedValue;
  voters?: VersionedValue;
}

/** How far a disk has a key; `voters` where the asker goes by older ones, so that its majority counts for nothing. */
export interface AcceptedVersionReply {
  disk: string;
  accepted?: Version;
  voters?: VersionedValue;
}

/** What a disk knows to be accepted: what it accepted itself, or what it learned, which a majority has accepted. */
export function newestAccepted(
  c: { accepted?: VersionedValue; learned?: VersionedValue } | undefined,
): VersionedValue | undefined {
  if (!c?.accepted || !c.learned) return c?.accepted ?? c?.learned;
  return compareVersions(c.learned, c.accepted) > 0 ? c.learned : c.accepted;
}

/** The voters that are committed here, where they are later than those that another goes by. */
export function newerVoterSet(
  slots: ControlStore,
  sent: Version | undefined,
): VersionedValue | undefined {
  const mine = slots.registers.get(CONTROL_KEYS.voters)?.learned;
  if (!mine) return undefined;
  return !sent || compareVersions(mine, sent) > 0 ? mine : undefined;
}

/** The place of a change without its value. */
export function placeOnly(n: VersionedValue | undefined): Version | undefined {
  return n && { epoch: n.epoch, by: n.by, number: n.number };
}

/** The part of a register that each voter's disk plays. */
export class Acceptor {
  constructor(
    private readonly store: ControlStore,
    private readonly transport: VoterTransport,
    private readonly ports: Ports,
  ) {}

  private isVoting(): boolean {
    return isVoter(this.transport.voters(), this.store.diskId);
  }

  /** Promises to take nothing of a lower epoch; an epoch that was promised already is not promised again. */
  @messageHandler('prepare', PrepareRequest)
  async prepare(m: PrepareRequest): HandlerResult {
    const later = newerVoterSet(this.store, m.voters);
    const seen = this.store.registers.get(m.key)?.promised ?? { epoch: 0, by: '' };
    if (later) return Right({ ok: false, seen, voters: later });
    if (!this.isVoting())
      return failure('prepare', this.store.diskId, 'not a voter', 'refused', 'no-voter');
    if (m.epoch <= seen.epoch) return Right({ ok: false, seen });
    const promised = { epoch: m.epoch, by: m.by };
    const accepted = newestAccepted(this.store.registers.get(m.key));
    const [f] = errorOrValue(await this.store.put({ key: m.key, promised }));
    if (f) return Left(f);
    return Right({ ok: true, seen: promised, accepted });
  }

  /** Takes a change unless a higher epoch was promised. */
  @messageHandler('accept', AcceptRequest)
  accept(m: AcceptRequest): HandlerResult {
    return this.acceptChange(m);
  }

  private async acceptChange(m: AcceptRequest, delta?: Delta): HandlerResult {
    const later = newerVoterSet(this.store, m.voters);
    const c = m.change;
    const cell = this.store.registers.get(c.key);
    const seen = cell?.promised ?? { epoch: 0, by: '' };
    if (later) return Right({ ok: false, seen, voters: later });
    if (!this.isVoting())
      return failure('accept', this.store.diskId, 'not a voter', 'refused', 'no-voter');
    if (compareEpochs(c, seen) < 0) return Right({ ok: false, seen });
    if (cell?.accepted && compareVersions(c, cell.accepted) < 0) return Right({ ok: false, seen });
    const promised = { epoch: c.epoch, by: c.by };
    const accepted = delta ? c : { ...c, value: shareUnchanged(cell?.learned?.value, c.value) };
    const [f] = errorOrValue(await this.store.put({ key: c.key, promised, accepted }, delta));
    if (f) return Left(f);
    return Right({ ok: true, seen: promised });
  }

  /** Takes a change told as the difference to what is learned here. */
  @messageHandler('accept-delta', AcceptDeltaRequest)
  async acceptDelta(m: AcceptDeltaRequest): HandlerResult {
    const change = readDelta(this.store.registers.get(m.delta.key)?.learned, m.delta);
    return change
      ? this.acceptChange({ change, voters: m.voters }, m.delta)
      : failure('accept', this.store.diskId, 'not the base here', 'refused', 'whole');
  }

  /** Keeps as committed what was accepted at a place. */
  @messageHandler('learn-accepted', LearnAcceptedRequest)
  async learnAccepted(m: LearnAcceptedRequest): HandlerResult {
    const change = this.store.registers.get(m.place.key)?.accepted;
    return change && compareVersions(change, m.place) === 0
      ? this.learn({ change })
      : failure('learn', this.store.diskId, 'not accepted here', 'refused', 'whole');
  }

  /** Keeps what is committed, and carries it to the followers. */
  @messageHandler('learn', LearnRequest)
  async learn(m: LearnRequest): HandlerResult {
    const c = m.change;
    const cell = this.store.registers.get(c.key);
    const before = cell?.learned;
    const fresh = !before || compareVersions(c, before) > 0;
    const same = cell?.accepted && compareVersions(cell.accepted, c) === 0;
    const [f] = errorOrValue(
      await (fresh ? this.store.put({ key: c.key, learned: same ? true : c }) : this.store.flush()),
    );
    if (f) return Left(f);
    if (fresh) this.transport.onLearned(c, before);
    this.ports.logger.info({ step: 'learn', peer: c.by }, `${c.key} ${c.epoch}.${c.number}`);
    return Right({ disk: this.store.diskId });
  }

  /** Tells how far this disk has a key: what it has accepted, or learned as accepted by a majority. It waits for no write: memory is never behind the disk. */
  @messageHandler('held-place')
  async acceptedVersion(m: { key: string; voters?: Version }): HandlerResult {
    return Right({
      disk: this.store.diskId,
      accepted: placeOnly(newestAccepted(this.store.registers.get(m.key))),
      voters: newerVoterSet(this.store, m.voters),
    });
  }
}
