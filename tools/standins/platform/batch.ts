import { Run } from './book';
import { Keeper, KeptPart } from './cache';
import { Ground, H, partsOf, wireName } from './ground';
import { Batch, EngineSpec, EngineTroubles, Job } from './jobs';
import { Exchange } from './serve';
import { makeTransfers } from './transfers';

/** What the batch is told of its engine. */
export interface BatchOf {
  ground: Ground;
  spec: EngineSpec;
  keeper: Keeper;
  troubles: EngineTroubles;
  versions: Map<string, number>;
  warm: () => number;
}

function nothing(): void {
  // does nothing on purpose
}

let seals = 0;

/** Makes the batch of one engine's life. */
export function makeBatch({ ground, spec, keeper, troubles, versions, warm }: BatchOf): Batch {
  const { clock, dice, book } = ground;
  const queue: Job[] = [];
  const running = new Set<Job>();
  const waiting: { model: string; run: () => void }[] = [];
  const surplus = new WeakMap<object, string>();
  let counter = 0;
  let readFree = 0;
  const { fetch, keepParts } = makeTransfers({ ground, spec, keeper, versions });
  const batch: Batch = {
    queue,
    running,
    submit,
    clear,
    preempt,
    busyWith,
    whenIdle,
    turn,
    close,
    blocked: new Set(),
    leaving: false,
  };

  function headers(j: Job, extra: Record<string, string> = {}): Record<string, string> {
    const out: Record<string, string> = { [wireName(H.id)]: j.id, ...extra };
    if (j.model !== '') out[wireName(H.versions)] = String(versions.get(j.model) ?? 1);
    if (batch.leaving || dice.next() < troubles.closes) out.Connection = 'close';
    return out;
  }

  function turnAway(j: Job, status: number, more: Record<string, string> = {}): void {
    leave(j);
    noteTurned(j, status);
    j.x.head(status, headers(j, { [wireName(H.notRun)]: '1', 'Content-Length': '0', ...more }));
    j.x.end();
  }

  function noteTurned(j: Job, status: number): void {
    for (let i = book.arrivals.length - 1; i >= 0; i--) {
      const a = book.arrivals[i];
      if (a.id !== j.id || a.instance !== spec.instance) continue;
      a.turned = status;
      return;
    }
  }

  function leave(j: Job): void {
    j.over = true;
    j.stop();
    const at = queue.indexOf(j);
    if (at >= 0) queue.splice(at, 1);
    running.delete(j);
    keeper.release(j.held);
    j.held = 0;
  }

  function settle(j: Job): void {
    leave(j);
    if (j.run && j.run.endedAt === undefined) j.run.endedAt = clock.now();
    for (const w of [...waiting]) {
      if (busyWith(w.model)) continue;
      waiting.splice(waiting.indexOf(w), 1);
      w.run();
    }
    turn();
  }

  function submit(x: Exchange): void {
    const before = surplus.get(x.connection);
    if (before !== undefined) {
      surplus.delete(x.connection);
      x.raw(before);
    }
    const [tin, tout] = (x.headers[H.tokens] ?? '0,0').split(',').map(Number);
    const parts = partsOf(x.headers[H.parts]);
    const deadline = x.headers[H.deadline];
    const after = Number(x.headers[H.last] ?? 0);
    const model = x.headers[H.model] ?? '';
    const total = model === '' ? 0 : 1 + Math.ceil(Math.max(0, tout - 1) / spec.stride);
    const j: Job = {
      x,
      id: x.headers[H.id] ?? '',
      model,
      urgency: Number(x.headers[H.urgency] ?? 5),
      order: counter++,
      salt: x.headers[H.salt] ?? '',
      parts,
      tokensIn: tin,
      total,
      next: after + 1,
      held: 0,
      deadlineAt: deadline === undefined ? Infinity : clock.now() + Number(deadline),
      stop: nothing,
      over: false,
    };
    if (j.id === '') return turnAway(j, 400);
    if (x.headers[H.instance] !== undefined && x.headers[H.instance] !== spec.instance)
      return turnAway(j, 421, { [wireName(H.told)]: spec.instance });
    if (
      x.headers[H.expect] !== undefined &&
      Number(x.headers[H.expect]) !== (versions.get(model) ?? 1)
    )
      return turnAway(j, 421);
    if (troubles.full || batch.blocked.has(model) || tin + tout > spec.cacheTokens)
      return turnAway(j, 503);
    if (dice.next() < troubles.silent) return;
    if (running.size >= spec.capacity && queue.length >= spec.queue && !displace(j))
      return turnAway(j, 503);
    queue.push(j);
    queue.sort(byUrgency);
    function gone(): void {
      if (j.over) return;
      settle(j);
    }
    x.gone.addEventListener('abort', gone, { once: true });
    if (j.deadlineAt !== Infinity) {
      const off = clock.setTimer(Math.max(0, j.deadlineAt - clock.now()), late);
      j.stop = off;
    }
    function late(): void {
      if (!j.over && !j.run) turnAway(j, 503);
      else if (!j.over) expired(j);
    }
    turn();
  }

  function expired(j: Job): void {
    const r = j.run!;
    if (r.startedAt === undefined) {
      r.status = 504;
      r.whole = true;
      j.x.head(504, headers(j, { 'Content-Length': '0' }));
      j.x.end();
    } else {
      r.broke = true;
      j.x.reset();
    }
    settle(j);
  }

  function byUrgency(a: Job, b: Job): number {
    return a.urgency - b.urgency || a.order - b.order;
  }

  function displace(j: Job): boolean {
    const last = queue[queue.length - 1];
    if (!last || last.run || last.urgency <= j.urgency) return false;
    turnAway(last, 503);
    return true;
  }

  function turn(): void {
    while (running.size < spec.capacity && queue.length > 0) {
      const j = queue[0];
      const out = Math.max(0, (j.total - 1) * spec.stride);
      const need = j.tokensIn + out;
      if (!keeper.hold(need) && !(putBack(j.urgency) && keeper.hold(need))) return;
      queue.shift();
      running.add(j);
      j.held = need;
      begin(j);
    }
  }

  /** Puts the newest of the least urgent back, where it is less urgent than this. */
  function putBack(urgency: number): boolean {
    let victim: Job | undefined;
    for (const j of running)
      if (j.urgency > urgency && (!victim || byUrgency(victim, j) < 0)) victim = j;
    if (!victim) return false;
    victim.stop();
    keeper.release(victim.held);
    victim.held = 0;
    running.delete(victim);
    queue.push(victim);
    queue.sort(byUrgency);
    return true;
  }

  function begin(j: Job): void {
    const now = clock.now();
    const version = versions.get(j.model) ?? 1;
    j.run ??= {
      seal: `${spec.instance}.${(++seals).toString(16)}`,
      id: j.id,
      from: j.x.peer,
      instance: spec.instance,
      service: spec.service,
      model: j.model,
      version,
      tenant: j.x.headers[H.tenant],
      beganAt: now,
      undone: false,
      status: 200,
      after: j.next - 1,
      total: j.total,
      pieces: [],
      times: [],
      whole: false,
      broke: false,
      used: [],
      tokensIn: j.tokensIn,
    };
    if (!book.runs.includes(j.run)) book.runs.push(j.run);
    if (j.model === '') return wait(j, spec.workMs * troubles.slow * warm(), plain);
    const had = keeper.match(j.model, j.salt, j.parts);
    keeper.touch(had);
    const fetched = fetch(j, had);
    const all = [...had, ...fetched.parts];
    j.run.used = all.map(usedOf);
    let ready = 0;
    for (const p of all) ready += p.tokens;
    const unread = Math.max(0, j.tokensIn - ready);
    book.readTokens += unread;
    readFree =
      Math.max(now + fetched.ms, readFree) + (unread / spec.prefillPerMs) * troubles.slow * warm();
    wait(j, readFree - now + stepMs(), first);
    function usedOf(p: KeptPart): Run['used'][number] {
      return { id: p.id, tokens: p.tokens, version: p.version, tenant: p.tenant };
    }
  }

  function stepMs(): number {
    return spec.stepMs * (1 + running.size / spec.capacity) * troubles.slow * warm();
  }

  function wait(j: Job, ms: number, then: (j: Job) => void): void {
    const life = j.stop;
    const off = clock.setTimer(ms, go);
    const deadline =
      j.deadlineAt === Infinity
        ? nothing
        : clock.setTimer(Math.max(0, j.deadlineAt - clock.now()), late);
    life();
    function stop(): void {
      off();
      deadline();
    }
    function go(): void {
      if (!j.over) then(j);
    }
    function late(): void {
      if (!j.over) expired(j);
    }
    j.stop = stop;
  }

  function first(j: Job): void {
    const r = j.run!;
    if (r.startedAt === undefined) {
      r.startedAt = clock.now();
      keepParts(j);
      if (spoiled(j)) return;
      j.x.head(
        200,
        headers(j, { 'Content-Type': 'text/event-stream', [wireName(H.seal)]: r.seal }),
      );
    }
    event(j);
  }

  /** Whether the answer went wrong before its first byte. */
  function spoiled(j: Job): boolean {
    const r = j.run!;
    if (dice.next() < troubles.lost) {
      r.broke = true;
      j.x.reset();
    } else if (dice.next() < troubles.noAnswer) {
      r.broke = true;
      j.x.raw('\u0001\u0002 no answer at all\r\n\r\n');
      (j.x.connection as { end?: () => void }).end?.();
    } else if (dice.next() < troubles.fails) {
      r.status = 500;
      r.whole = true;
      j.x.head(500, headers(j, { 'Content-Length': '6' }));
      j.x.end('failed');
    } else return false;
    settle(j);
    return true;
  }

  function event(j: Job): void {
    const r = j.run!;
    if (j.next <= j.total) {
      const told = j.tell === undefined ? '' : `${H.versions}: ${j.tell}\n`;
      j.tell = undefined;
      const p = { id: j.next, text: `${told}id: ${j.next}\ndata: ${r.seal}/${j.next}\n\n` };
      r.pieces.push(p);
      r.times.push(clock.now());
      j.next++;
      j.x.piece(p.text);
    }
    if (dice.next() * Math.max(1, j.total) < troubles.breakOff && j.next <= j.total) {
      r.broke = true;
      j.x.reset();
      return settle(j);
    }
    if (j.next > j.total) return finish(j, undefined);
    wait(j, stepMs() * spec.stride, event);
  }

  function plain(j: Job): void {
    const r = j.run!;
    r.startedAt = clock.now();
    if (spoiled(j)) return;
    const text = `done ${r.seal} ${j.x.target}`;
    r.pieces.push({ id: 0, text });
    j.x.head(
      200,
      headers(j, {
        'Content-Type': 'text/plain',
        'Content-Length': String(text.length),
        [wireName(H.seal)]: r.seal,
      }),
    );
    finish(j, text);
  }

  function finish(j: Job, text: string | undefined): void {
    const r = j.run!;
    r.whole = true;
    j.x.end(text);
    if (dice.next() < troubles.garble) {
      const body = `late ${r.seal}`;
      surplus.set(
        j.x.connection,
        `HTTP/1.1 200 OK\r\n${wireName(H.id)}: ${j.id}\r\n${wireName(H.seal)}: ${r.seal}\r\nContent-Length: ${body.length}\r\n\r\n${body}`,
      );
    } else if (troubles.closeIdle) (j.x.connection as { end?: () => void }).end?.();
    settle(j);
  }

  function clear(model: string): void {
    for (const j of [...queue, ...running]) {
      if (j.model !== model || j.run?.startedAt !== undefined) continue;
      if (j.run) j.run.undone = true;
      turnAway(j, 503);
    }
  }

  function preempt(model: string): void {
    for (const j of [...running, ...queue]) {
      if (j.model !== model) continue;
      if (j.run) j.run.broke = true;
      j.x.reset();
      settle(j);
    }
  }

  function busyWith(model: string): boolean {
    for (const j of [...running, ...queue]) if (j.model === model && j.run) return true;
    return false;
  }

  function whenIdle(model: string, run: () => void): void {
    if (!busyWith(model)) run();
    else waiting.push({ model, run });
  }

  function close(): void {
    for (const j of [...queue, ...running]) {
      if (j.run) j.run.broke = true;
      leave(j);
      if (j.run && j.run.endedAt === undefined) j.run.endedAt = clock.now();
    }
  }

  return batch;
}
