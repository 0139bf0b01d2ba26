import { PreferredReplicas } from '../../src/data/gateway/preferred-replicas';

function routersAgreeOnRanks(): void {
  const a = new PreferredReplicas().rank('k', ['x', 'y', 'z', 'w']);
  const b = new PreferredReplicas().rank('k', ['w', 'z', 'y', 'x']);
  expect([...a].sort()).toEqual([...b].sort());
  const without = new PreferredReplicas().rank('k', ['x', 'y', 'z']);
  const order = [...a].sort(byRank).map(nameOf).filter(notW);
  expect([...without].sort(byRank).map(nameOf)).toEqual(order);
  const count = new Map<string, number>();
  for (let i = 0; i < 4000; i++) {
    const home = [...new PreferredReplicas().rank(`key ${i}`, ['x', 'y', 'z', 'w'])].sort(
      byRank,
    )[0][0];
    count.set(home, (count.get(home) ?? 0) + 1);
  }
  for (const n of count.values()) expect(Math.abs(n - 1000)).toBeLessThan(150);
  function byRank(p: [string, number], q: [string, number]): number {
    return p[1] - q[1];
  }
  function nameOf(p: [string, number]): string {
    return p[0];
  }
  function notW(n: string): boolean {
    return n !== 'w';
  }
}

test(
  'homes are the same everywhere, even, and move only with the name that goes',
  routersAgreeOnRanks,
);
