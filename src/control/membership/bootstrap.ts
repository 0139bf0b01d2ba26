import { Left, Right } from 'purify-ts';
import { bad, open, Outcome } from '../../shared/errors/errors';
import { Clock } from '../../shared/ports/ports';
import { Bounds } from '../../shared/settings/time-limits';
import { Settings } from '../../shared/settings/settings';
import { isVoter, KEYS, Voter, Voters } from '../../shared/state/words';
import { Slots } from '../storage/control-store';

/** How the disk of a founder is named that was not there. */
export const ABSENT = 'absent ';

interface Who {
  disk: string;
  blank: boolean;
  mayFound: boolean;
}

interface Parts {
  settings: Settings;
  bounds: Bounds;
  clock: Clock;
  slots: Slots;
  voters(): Voters | undefined;
  who(at: string): Promise<Outcome<unknown>>;
  askVoter(v: Voter, type: string, body: unknown): Promise<Outcome<unknown>>;
  /** Commits the founders as the voters, where this controller owns that key. */
  commitFounding(v: Voters): Promise<void>;
}

/** The founding of a blank fleet. */
export interface Founding {
  /** Founds without the founders that are named as absent; refused where that is unsafe. */
  found(without: string[]): Promise<Outcome<Voters>>;
  /** Founds where this start may, and it is this founder's turn. */
  foundByItself(): Promise<void>;
  /** Tells the other founders what was founded, until the voters are committed. */
  spread(): Promise<void>;
}

/** Makes the founding of one controller. */
export function makeFounding(p: Parts): Founding {
  const { settings, slots, voters } = p;
  const founders = [...settings.founders].sort();
  let majoritySince: number | undefined;

  async function found(without: string[]): Promise<Outcome<Voters>> {
    const stood = voters();
    if (stood)
      return isVoter(stood, slots.disk)
        ? Right(stood)
        : bad(
            'found',
            slots.disk,
            'a fleet is founded, and this disk is not of it',
            'refused',
            'not-blank',
          );
    function absent(at: string): boolean {
      return without.includes(at);
    }
    if (slots.spoilt)
      return bad('found', slots.disk, 'this disk was of a fleet', 'refused', 'not-blank');
    if (absent(settings.wire) || founders.filter(absent).length * 2 >= founders.length)
      return bad(
        'found',
        settings.name,
        'a majority of the founders must be here',
        'refused',
        'no-quorum',
      );
    const set: Voter[] = [];
    for (const at of founders) {
      if (at === settings.wire) {
        set.push({ disk: slots.disk, at });
        continue;
      }
      const [g, w] = open(await p.who(at));
      const r = w as Who | undefined;
      if (absent(at) && r && (r.mayFound || !r.blank))
        return bad('found', at, 'is named as absent, and is here', 'refused', 'conflict');
      if (!absent(at) && g) return Left({ ...g, sort: 'refused' });
      if (r && !r.blank) return bad('found', at, 'is not blank', 'refused', 'not-blank');
      set.push({ disk: r && !absent(at) ? r.disk : `${ABSENT}${at}`, at });
    }
    const [h] = open(
      voters()
        ? bad<void>('found', settings.name, 'another came first', 'refused', 'conflict')
        : await slots.found({ now: set }),
    );
    return h ? Left(h) : Right({ now: set });
  }

  async function foundByItself(): Promise<void> {
    if (!settings.bootstrap || slots.spoilt || !founders.includes(settings.wire)) return;
    const here: string[] = [];
    async function look(at: string): Promise<boolean> {
      const [f, w] =
        at === settings.wire ? [undefined, { blank: true, mayFound: true }] : open(await p.who(at));
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
      (settings.foundBy === 'all' || p.clock.now() - majoritySince < p.bounds.foundWait)
    )
      return;
    function isAway(at: string): boolean {
      return !here.includes(at);
    }
    await found(founders.filter(isAway));
  }

  async function spread(): Promise<void> {
    const v = slots.founding() as Voters | undefined;
    if (!v || slots.cells.get(KEYS.voters)?.learned) return;
    async function tell(x: Voter): Promise<void> {
      if (x.disk !== slots.disk) await p.askVoter(x, 'found', v);
    }
    await Promise.all(v.now.map(tell));
    await p.commitFounding(v);
  }

  return { found, foundByItself, spread };
}
