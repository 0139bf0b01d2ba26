import { Left, Right } from 'purify-ts';
import { failure, errorOrValue, Result } from '../../shared/errors/errors';
import { Clock } from '../../shared/ports/clock';
import { TimeLimits } from '../../shared/settings/time-limits';
import { Settings } from '../../shared/settings/settings';
import { isVoter, Voter, VoterSet } from '../../shared/state/voter-set';
import { CONTROL_KEYS } from '../../shared/state/control-keys';
import { ControlStore } from '../storage/control-store';

/** How the disk of a founder is named that was not there. */
export const ABSENT_DISK_PREFIX = 'absent ';

interface Who {
  disk: string;
  blank: boolean;
  mayFound: boolean;
}

interface BootstrapDependencies {
  settings: Settings;
  timeLimits: TimeLimits;
  clock: Clock;
  store: ControlStore;
  voters: () => VoterSet | undefined;
  who: (at: string) => Promise<Result<unknown>>;
  requestVoter: (v: Voter, type: string, body: unknown) => Promise<Result<unknown>>;
  /** Commits the founders as the voters, where this controller owns that key. */
  commitBootstrap: (v: VoterSet) => Promise<void>;
}

/** The founding of a blank fleet. */
export interface Bootstrap {
  /** Founds without the founders that are named as absent; refused where that is unsafe. */
  bootstrap: (without: string[]) => Promise<Result<VoterSet>>;
  /** Founds where this start may, and it is this founder's turn. */
  bootstrapIfReady: () => Promise<void>;
  /** Tells the other founders what was founded, until the voters are committed. */
  announce: () => Promise<void>;
}

/** Makes the founding of one controller. */
export function makeBootstrap(p: BootstrapDependencies): Bootstrap {
  const { settings, store: slots, voters } = p;
  const founders = [...settings.founders].sort();
  let majoritySince: number | undefined;

  async function found(without: string[]): Promise<Result<VoterSet>> {
    const stood = voters();
    if (stood)
      return isVoter(stood, slots.diskId)
        ? Right(stood)
        : failure(
            'found',
            slots.diskId,
            'a fleet is founded, and this disk is not of it',
            'refused',
            'not-blank',
          );
    function absent(at: string): boolean {
      return without.includes(at);
    }
    if (slots.isCorrupt)
      return failure('found', slots.diskId, 'this disk was of a fleet', 'refused', 'not-blank');
    if (absent(settings.wire) || founders.filter(absent).length * 2 >= founders.length)
      return failure(
        'found',
        settings.name,
        'a majority of the founders must be here',
        'refused',
        'no-quorum',
      );
    const set: Voter[] = [];
    for (const at of founders) {
      if (at === settings.wire) {
        set.push({ disk: slots.diskId, at });
        continue;
      }
      const [g, w] = errorOrValue(await p.who(at));
      const r = w as Who | undefined;
      if (absent(at) && r && (r.mayFound || !r.blank))
        return failure('found', at, 'is named as absent, and is here', 'refused', 'conflict');
      if (!absent(at) && g) return Left({ ...g, certainty: 'refused' });
      if (r && !r.blank) return failure('found', at, 'is not blank', 'refused', 'not-blank');
      set.push({ disk: r && !absent(at) ? r.disk : `${ABSENT_DISK_PREFIX}${at}`, at });
    }
    const [h] = errorOrValue(
      voters()
        ? failure<void>('found', settings.name, 'another came first', 'refused', 'conflict')
        : await slots.recordBootstrap({ now: set }),
    );
    return h ? Left(h) : Right({ now: set });
  }

  async function foundByItself(): Promise<void> {
    if (!settings.bootstrap || slots.isCorrupt || !founders.includes(settings.wire)) return;
    const here: string[] = [];
    async function look(at: string): Promise<boolean> {
      const [f, w] =
        at === settings.wire
          ? [undefined, { blank: true, mayFound: true }]
          : errorOrValue(await p.who(at));
      if (!f && (w as Who).mayFound) here.push(at);
      return f !== undefined || (w as Who).blank;
    }
    function isFine(x: boolean): boolean {
      return x;
    }
    if (!(await Promise.all(founders.map(look))).every(isFine)) return;
    here.sort();
    if (here.length * 2 <= founders.length) majoritySince = undefined;
    else majoritySince = majoritySince ?? p.clock.now();
    if (here[0] !== settings.wire || majoritySince === undefined) return;
    if (
      here.length < founders.length &&
      (settings.foundBy === 'all' || p.clock.now() - majoritySince < p.timeLimits.bootstrapWaitMs)
    )
      return;
    function isAway(at: string): boolean {
      return !here.includes(at);
    }
    await found(founders.filter(isAway));
  }

  async function spread(): Promise<void> {
    const v = slots.bootstrapVoterSet() as VoterSet | undefined;
    if (!v || slots.registers.get(CONTROL_KEYS.voters)?.learned) return;
    async function tell(x: Voter): Promise<void> {
      if (x.disk !== slots.diskId) await p.requestVoter(x, 'found', v);
    }
    await Promise.all(v.now.map(tell));
    await p.commitBootstrap(v);
  }

  return { bootstrap: found, bootstrapIfReady: foundByItself, announce: spread };
}
