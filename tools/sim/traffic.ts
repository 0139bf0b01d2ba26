import { pack } from 'msgpackr';
import { Message } from '../../src/shared/ports/network';

/** Messages and bytes between our processes, by sender's role and type. */
export interface Traffic {
  weigh: (from: string, m: Message) => void;
  rows: (per: number) => string[];
}

/** Counts what our processes say to each other, as `msgpackr` packs it. */
export function makeTraffic(): Traffic {
  const sums = new Map<string, { count: number; bytes: number }>();

  function weigh(from: string, m: Message): void {
    const key = `${from.replace(/-?\d+$/, '')} ${m.type ?? 'return'}`;
    const was = sums.get(key) ?? { count: 0, bytes: 0 };
    sums.set(key, { count: was.count + 1, bytes: was.bytes + pack(m).length });
  }

  function byBytes(a: [string, { bytes: number }], b: [string, { bytes: number }]): number {
    return b[1].bytes - a[1].bytes;
  }

  function rows(per: number): string[] {
    const out: string[] = [];
    for (const [key, s] of [...sums].sort(byBytes))
      out.push(`| ${key} | ${Math.round(s.count / per)} | ${Math.round(s.bytes / per / 1000)} |`);
    return out;
  }

  return { weigh, rows };
}
