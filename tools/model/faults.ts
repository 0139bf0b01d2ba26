/** The faults of a world, each kind within its budget, and the recoveries that follow them. */
import { Remainder } from './disk';
import { Network } from './network';
import { ModelNode } from './node';
import { ModelEvent } from './scheduler';
import { Budgets } from './worlds';

interface FaultParts {
  nodes: ModelNode[];
  network: Network;
  budgets: Budgets;
  /** Whether one more lost disk is tolerated now. */
  mayWipe: () => boolean;
}

/** What may go wrong now, and what may get well. */
export interface Faults {
  faults: () => ModelEvent[];
  recoveries: () => ModelEvent[];
  /** Timers that may ring before other things are done. */
  lateTimers: (timers: ModelEvent[]) => ModelEvent[];
  describe: () => string;
}

const REMAINDERS: Remainder[] = ['lost', 'empty', 'torn', 'kept'];

/** All ways in which a power loss may leave some files. */
function remaindersOf(names: string[]): Map<string, Remainder>[] {
  let ways = [new Map<string, Remainder>()];
  for (const name of names) {
    const more: Map<string, Remainder>[] = [];
    for (const way of ways)
      for (const remainder of REMAINDERS) more.push(new Map([...way, [name, remainder]]));
    ways = more;
  }
  return ways;
}

function wayText(way: Map<string, Remainder>): string {
  const parts: string[] = [];
  for (const [name, remainder] of way) parts.push(`${name} ${remainder}`);
  return parts.length === 0 ? 'nothing was unsynced' : parts.join(', ');
}

function nothing(): void {
  // does nothing on purpose
}

/** Makes the faults of one run; budgets are spent as they happen. */
export function makeFaults({ nodes, network, budgets, mayWipe }: FaultParts): Faults {
  function spent(kind: keyof Budgets, event: ModelEvent): ModelEvent {
    function run(): void {
      budgets[kind]--;
      event.run();
    }
    return { ...event, run };
  }

  function fault(kind: keyof Budgets, label: string, run: () => void): ModelEvent {
    return spent(kind, { class: 'fault', kind, label, run });
  }

  function crashOf(node: ModelNode): ModelEvent {
    function run(): void {
      node.die(nothing);
    }
    return fault('crash', `${node.name} crashes`, run);
  }

  function powerLossesOf(node: ModelNode): ModelEvent[] {
    const list: ModelEvent[] = [];
    for (const way of remaindersOf(node.folder.unsynced())) {
      function hurt(): void {
        node.folder.losePower(way);
      }
      function run(): void {
        node.die(hurt);
      }
      list.push(fault('power', `${node.name} loses power: ${wayText(way)}`, run));
    }
    return list;
  }

  /** All machines lose power at once, and everything that is unsynced. */
  function blackout(): ModelEvent {
    function run(): void {
      for (const node of nodes) {
        function hurt(): void {
          node.folder.losePower(new Map());
        }
        if (node.running) node.die(hurt);
      }
    }
    return fault('power', 'all machines lose power and all that is unsynced', run);
  }

  function wipeOf(node: ModelNode): ModelEvent {
    function run(): void {
      node.die(node.folder.wipe);
    }
    return fault('wipe', `${node.name} loses its disk`, run);
  }

  function freezeOf(node: ModelNode): ModelEvent {
    function run(): void {
      node.frozen = true;
    }
    return fault('freeze', `${node.name} freezes`, run);
  }

  function cutsOf(): ModelEvent[] {
    const list: ModelEvent[] = [];
    for (const [i, a] of nodes.entries()) {
      for (const b of nodes.slice(i + 1)) {
        function run(): void {
          network.cut(a, b);
        }
        list.push(fault('cut', `the link of ${a.name} and ${b.name} is cut`, run));
      }
    }
    return list;
  }

  function nodeFaults(node: ModelNode): ModelEvent[] {
    const list: ModelEvent[] = [];
    if (!node.running) return list;
    if (budgets.crash > 0) list.push(crashOf(node));
    if (budgets.power > 0) list.push(...powerLossesOf(node));
    if (budgets.wipe > 0 && mayWipe()) list.push(wipeOf(node));
    if (budgets.freeze > 0 && node.serving && !node.frozen) list.push(freezeOf(node));
    return list;
  }

  function faults(): ModelEvent[] {
    const list: ModelEvent[] = nodes.flatMap(nodeFaults);
    function spend(kind: keyof Budgets, events: ModelEvent[]): void {
      for (const event of events) list.push(spent(kind, event));
    }
    if (budgets.power > 0) list.push(blackout());
    if (budgets.loss > 0) spend('loss', network.losses());
    if (budgets.duplicate > 0) spend('duplicate', network.duplicates());
    if (budgets.cut > 0 && network.cuts().length === 0) list.push(...cutsOf());
    return list;
  }

  function recoveries(): ModelEvent[] {
    const list: ModelEvent[] = [];
    for (const node of nodes) {
      function wake(): void {
        node.frozen = false;
      }
      if (!node.running)
        list.push({
          class: 'recovery',
          kind: 'start',
          label: `${node.name} starts`,
          run: node.start.bind(node),
        });
      if (node.frozen)
        list.push({ class: 'recovery', kind: 'wake', label: `${node.name} wakes`, run: wake });
    }
    if (network.cuts().length > 0)
      list.push({
        class: 'recovery',
        kind: 'heal',
        label: 'the cut link is healed',
        run: network.heal,
      });
    return list;
  }

  function lateTimers(timers: ModelEvent[]): ModelEvent[] {
    if (budgets.lateTimer <= 0) return [];
    function spend(event: ModelEvent): ModelEvent {
      return spent('lateTimer', event);
    }
    return timers.map(spend);
  }

  function describe(): string {
    return JSON.stringify(budgets);
  }

  return { faults, recoveries, lateTimers, describe };
}
