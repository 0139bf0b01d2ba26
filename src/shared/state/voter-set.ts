/**
 * The voters, whose disks hold the control keys, and majorities of them. During a change of the set, majorities of both sets are needed (joint consensus). The field names are sent and stored.
 */

/** A voter: a disk, and where its controller is reached. */
export interface Voter {
  disk: string;
  at: string;
}

/** The voter set; while two sets are joint, both majorities are needed. */
export interface VoterSet {
  now: Voter[];
  next?: Voter[];
}

/** A majority of the voter set, and of the next one while two are joint. */
export function isQuorum(v: VoterSet, disks: ReadonlySet<string>): boolean {
  function has(x: Voter): boolean {
    return disks.has(x.disk);
  }
  function most(set: Voter[]): boolean {
    return set.filter(has).length * 2 > set.length;
  }
  return most(v.now) && (v.next === undefined || most(v.next));
}

/** Whether a disk votes, in either set. */
export function isVoter(v: VoterSet | undefined, disk: string): boolean {
  function mine(x: Voter): boolean {
    return x.disk === disk;
  }
  return v !== undefined && allVoters(v).some(mine);
}

/** The address of a node, a voter or an engine. */
export function addressOf(x: { at: string }): string {
  return x.at;
}

/** All voters of both sets, each disk once. */
export function allVoters(v: VoterSet): Voter[] {
  const m = new Map<string, Voter>();
  for (const x of [...v.now, ...(v.next ?? [])]) m.set(x.disk, x);
  return [...m.values()];
}
