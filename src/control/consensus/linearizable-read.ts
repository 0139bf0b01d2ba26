import { Left, Right } from 'purify-ts';
import { HandlerResult, messageHandler } from '../../shared/transport/message-handlers';
import { failure, errorOrValue, Result } from '../../shared/errors/errors';
import { CONTROL_KEYS } from '../../shared/state/control-keys';
import { VersionedValue } from '../../shared/state/versions';
import { Voter, VoterSet } from '../../shared/state/voter-set';
import { AcceptedVersionReply } from './acceptor-messages';
import { hasNewerAccepted, pollAcceptedVersions } from './accepted-versions';
import { KeyOwner } from './key-owner';
import { ControlStore } from '../storage/control-store';

/** Polls of one read: a second one where the first shows that the voters are others by now. */
const MAX_POLLS = 2;

/** What a read needs of its controller; `ofOwner` asks the key's owner, wherever it is. */
export interface ReadDependencies {
  store: ControlStore;
  keyOwner: KeyOwner;
  voters: () => VoterSet | undefined;
  requestVoter: (v: Voter, type: string, body: unknown) => Promise<Result<unknown>>;
  requestOwner: (key: string, type: string, body: object) => Promise<Result<unknown>>;
  /** Keeps here what is committed. */
  learnLocally: (n: VersionedValue) => Promise<unknown>;
}

/** What controllers ask one another for a read. */
export class ReadHandlers {
  constructor(private readonly dependencies: ReadDependencies) {}

  /** Takes a key anew, as its owner, from what a majority holds: what was accepted is committed. */
  @messageHandler('settle')
  async reacquire(m: { key: string }): HandlerResult {
    return this.dependencies.keyOwner.reacquire(m.key);
  }
}

/** Reads the places that a majority's disks hold; where a later one was accepted than is known here as committed, the owner settles it first. So what is read is never older than what was acknowledged. */
export async function readLinearizable(
  r: ReadDependencies,
  key: string,
): Promise<Result<VersionedValue | undefined>> {
  const [f, held] = errorOrValue(await pollVersions(r, key));
  if (f) return Left(f);
  const mine = r.store.registers.get(key)?.learned;
  if (!hasNewerAccepted(held, mine)) return Right(mine);
  return r.requestOwner(key, 'settle', { key }) as Promise<Result<VersionedValue | undefined>>;
}

/** Reads as `readNewest` does, with a fault instead where a later place was accepted than is known here as committed: a change may be under way. */
export async function readIfStable(
  r: ReadDependencies,
  key: string,
): Promise<Result<VersionedValue | undefined>> {
  const [f, held] = errorOrValue(await pollVersions(r, key));
  if (f) return Left(f);
  const mine = r.store.registers.get(key)?.learned;
  return hasNewerAccepted(held, mine)
    ? failure('read', key, 'a later change was accepted', 'unknown', 'unsettled')
    : Right(mine);
}

async function pollVersions(
  r: ReadDependencies,
  key: string,
  polls = MAX_POLLS,
): Promise<Result<AcceptedVersionReply[]>> {
  const known = r.store.registers.get(CONTROL_KEYS.voters)?.learned;
  const { accepted: held, newerVoterSet: laterVoters } = await pollAcceptedVersions(
    r.voters(),
    r.requestVoter,
    key,
    known,
  );
  if (laterVoters) {
    void r.learnLocally(laterVoters);
    if (held.isLeft() && polls > 1) return pollVersions(r, key, polls - 1);
  }
  return held;
}
