import { Dialect } from '../../shared/platform-adapter/platform-adapter';
import { giveFault, giveJson, takeCalls, takeJson } from '../../shared/transport/handlers';
import { Fault, open, Outcome } from '../../shared/errors/errors';
import { Call, Listening, Ports } from '../../shared/ports/ports';
import { DeploymentValue } from '../../shared/state/deployment';
import { withTimeout } from '../../shared/concurrency/timeout';
import { KEYS } from '../../shared/state/words';
import { OperatorApi } from './operator-api';
import { Changed } from '../configuration/change-coordinator';
import { Controller } from '../controller';
import { makeOrder } from '../configuration/deployment-change';
import { Operation } from '../configuration/operations';

/** How long a call is worked on before its caller is sent on to another controller, as a share of `ackMs`. */
const ANSWER_SHARE = 0.18;

/** Operators go on to another controller after a second of silence; an answer that is not clear comes before that. */
const ANSWER_WITHIN_MS = 900;

/** Faults that the same order would meet again. */
const FINAL_CODES = new Set(['stands', 'conflict', 'bad-deployment', 'forgotten']);

/** Serves operators who speak by a dialect, and our own interface beside. */
export function serveDeployment(
  c: Controller,
  ports: Ports,
  dialect: Dialect,
): Promise<Outcome<Listening>> {
  const { paths } = dialect.operators;
  const own = takeCalls([new OperatorApi(c, ports)], ports.log);

  async function take(call: Call): Promise<void> {
    if (call.path === paths.replace || call.path === paths.update) return put(call);
    if (call.path === paths.weights) return nameWeights(call);
    if (call.path === paths.describe) return describe(call);
    return own(call);
  }

  /** How long a call is worked on here. */
  function answerWithin(): number {
    return Math.min(c.settings.ackMs * ANSWER_SHARE, ANSWER_WITHIN_MS);
  }

  /** Has a result while its caller still listens, or a fault of unknown fate. */
  function inTime<T>(step: string, result: Promise<Outcome<T>>): Promise<Outcome<T>> {
    return withTimeout(ports.clock, answerWithin(), step, c.name, result);
  }

  function change(op: Operation): Promise<Outcome<Changed>> {
    return inTime('change', tryChange(op));
  }

  /** Tries a change; one whose fate is open is tried again, since one that was taken is known again. */
  async function tryChange(op: Operation): Promise<Outcome<Changed>> {
    const until = ports.clock.now() + answerWithin();
    for (;;) {
      const o = await c.change(op);
      const [f] = open(o);
      if (!f || isClear(f) || ports.clock.now() + c.bounds.pause > until) return o;
      await ports.clock.sleep(c.bounds.pause * (0.3 + 0.4 * ports.dice.next()));
    }
  }

  function refuse(call: Call, f: Fault): void {
    if (f.code === 'conflict') return giveFault(call, 412, 'refused', 'conflict', f.why);
    if (f.code === 'bad-deployment')
      return giveFault(call, 400, 'refused', 'bad-deployment', f.why);
    giveFault(
      call,
      503,
      f.sort,
      f.code ?? 'unknown',
      `${f.step} at ${f.peer}: ${f.why}`,
      c.bounds.pause,
    );
  }

  async function put(call: Call): Promise<void> {
    if (call.method !== 'POST') return giveFault(call, 405, 'refused', 'bad-method', call.method);
    const body = await takeJson(call, c.settings.bodyMostBytes);
    if (body === undefined) return;
    const base = dialect.operators.baseVersion(call.headers);
    if (base === undefined)
      return giveFault(
        call,
        400,
        'refused',
        'no-base',
        'the version that this builds on is missing',
      );
    const kind = call.path === paths.update ? 'update' : 'replace';
    const [f] = open(await change(makeOrder(base, kind, body)));
    if (f && f.code !== 'stands') return refuse(call, f);
    giveJson(call, 200, { taken: true });
  }

  async function nameWeights(call: Call): Promise<void> {
    if (call.method !== 'POST') return giveFault(call, 405, 'refused', 'bad-method', call.method);
    const body = await takeJson(call, c.settings.bodyMostBytes);
    if (body === undefined) return;
    const w = dialect.operators.weights(body);
    if (w.isLeft()) return giveFault(call, 400, 'refused', 'bad-weights', String(w.extract()));
    const { model, weights, rank } = w.extract() as {
      model: string;
      weights: string;
      rank: number;
    };
    const [f] = open(await change({ kind: 'weights', model, weights, rank }));
    if (f && f.code !== 'stands') return refuse(call, f);
    giveJson(call, 200, { model, weights });
  }

  async function describe(call: Call): Promise<void> {
    const [f, n] = open(await inTime('describe', c.newest(KEYS.deployment)));
    if (f) return refuse(call, f);
    if (!n) return giveFault(call, 404, 'refused', 'none', 'there is no deployment yet');
    giveJson(call, 200, (n.value as DeploymentValue).doc);
  }

  return ports.wire.serve(c.settings.http, take);
}

/** Whether trying again here can tell no more. */
function isClear(f: Fault): boolean {
  return FINAL_CODES.has(f.code ?? '');
}
