import { Member } from '../state/members';

/** What a controller's grant of a lease tells of the members: all of them, or who joined and left since. */
export interface MemberUpdate {
  members?: Member[];
  joined?: Member[];
  left?: string[];
}

interface Grant {
  until: number;
  members: Map<string, Member>;
}

/** The leases that this node holds, and the members that they tell of. */
export interface MemberView {
  /** Notes a lease that a controller's disk granted. */
  grant: (disk: string, until: number, told: MemberUpdate) => void;
  /** When the lease of a disk ends. */
  expiryOf: (disk: string) => number;
  members: (role: string) => Member[];
  clear: () => void;
}

function lifeOf(m: Member): string {
  return `${m.name} ${m.life}`;
}

function byLife(m: Member): [string, Member] {
  return [lifeOf(m), m];
}

function byName(a: Member, b: Member): number {
  return a.name < b.name ? -1 : 1;
}

/** Makes the view; `changed` is called with all members where they may have changed. */
export function makeMemberView(now: () => number, changed: (all: Member[]) => void): MemberView {
  const grants = new Map<string, Grant>();
  const shown = { by: '', text: '[]', list: [] as Member[], until: -Infinity };

  function grant(disk: string, until: number, told: MemberUpdate): void {
    const before = grants.get(disk)?.members ?? new Map<string, Member>();
    const members = told.members ? new Map(told.members.map(byLife)) : before;
    if (told.joined || told.left) {
      for (const life of told.left ?? []) members.delete(life);
      for (const m of told.joined ?? []) members.set(lifeOf(m), m);
    }
    grants.set(disk, { until, members });
    show(told.members !== undefined || told.joined !== undefined || told.left !== undefined);
  }

  function endOf(disk: string): number {
    return grants.get(disk)?.until ?? 0;
  }

  /** Tells who the members are where that may have changed: by what was told, or by which grants last. */
  function show(isTold: boolean): void {
    const at = now();
    let by = '';
    for (const [disk, g] of grants) if (g.until > at) by += `${disk} `;
    if (!isTold && by === shown.by) return;
    shown.until = -Infinity;
    const list = everyone();
    const text = JSON.stringify(list);
    if (text !== shown.text) changed(list);
    shown.by = by;
    shown.text = text;
  }

  /** The members that lasting grants tell of, by name; made anew where one was told, or could have ended. */
  function everyone(): Member[] {
    const at = now();
    if (at < shown.until) return shown.list;
    const all = new Map<string, Member>();
    let until = Infinity;
    for (const g of grants.values()) {
      if (g.until <= at) continue;
      until = Math.min(until, g.until);
      for (const [life, m] of g.members) all.set(life, m);
    }
    shown.until = until === Infinity ? -Infinity : until;
    shown.list = [...all.values()].sort(byName);
    return shown.list;
  }

  function members(role: string): Member[] {
    function isOf(m: Member): boolean {
      return role === '' || m.role === role;
    }
    return everyone().filter(isOf);
  }

  function clear(): void {
    grants.clear();
  }

  return { grant, expiryOf: endOf, members, clear };
}
