import { Right } from 'purify-ts';
import { makeChanges } from '../src/control/changes';
import { makeOrder } from '../src/control/deployment';
import { boundsOf } from '../src/shared/bounds';
import { Exchange } from '../src/shared/connections';
import { bad, Outcome } from '../src/shared/errors';
import { realClock } from '../src/shared/real';
import { defaultSettings } from '../src/shared/settings';
import { drawnDocument } from '../tools/sim/news/rig';

const OWNER = '10.1.0.2:7000';

/** How long the owner of the deployment is waited for, for an order of so many routes. */
async function waitedFor(routes: number): Promise<number> {
  const settings = { ...defaultSettings(), wire: '10.1.0.1:7000' };
  const waited: number[] = [];
  async function ask(_type: string, _body: unknown, within: number): Promise<Outcome<unknown>> {
    waited.push(within);
    return Right({ place: { epoch: 1, by: 'owner', number: 1 }, inEffect: false });
  }
  function up(): Exchange {
    return { ask } as unknown as Exchange;
  }
  function live(): string[] {
    return [OWNER];
  }
  async function readSettled(): Promise<Outcome<unknown>> {
    return bad('read', 'deployment', 'not read here', 'unknown', 'unsettled');
  }
  const clock = realClock();
  const parts = { clock, settings, bounds: boundsOf(settings), up, live, readSettled };
  const changes = makeChanges(parts as unknown as Parameters<typeof makeChanges>[0]);
  const order = makeOrder(0, 'replace', drawnDocument(1, routes));
  expect((await changes.commit(order)).isRight()).toBe(true);
  return waited[0];
}

async function byItsLength(): Promise<void> {
  const { handOver } = boundsOf(defaultSettings());
  expect(await waitedFor(0)).toBeLessThan(handOver * 1.05);
  const many = await waitedFor(2800);
  expect(many).toBeGreaterThan(handOver * 1.5);
  expect(await waitedFor(5600)).toBeGreaterThan(many * 1.3);
}

test('an owner is given more time for a longer order before another takes its place', byItsLength);
