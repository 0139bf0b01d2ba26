import { open } from '../src/shared/errors';
import { Call } from '../src/shared/ports';
import { realClock } from '../src/shared/real';
import { realWire } from '../src/shared/realwire';

const PIECE = 'x'.repeat(65535) + '\n';
const PIECES = 1500;

async function heldBack(): Promise<void> {
  const wire = realWire(1000);
  const clock = realClock();
  let given = 0;
  let stuck: (v: string) => void = none;
  function none(): void {}
  function wait(go: (v: string) => void): void {
    stuck = go;
  }
  const outcome = new Promise<string>(wait);
  async function source(call: Call): Promise<void> {
    call.head(200, {});
    for (; given < PIECES; given++) {
      const off = clock.timer(300, blocked);
      const ok = await call.piece(PIECE);
      off();
      if (!ok) return stuck('broken');
    }
    stuck('never held back');
    call.end();
  }
  function blocked(): void {
    stuck('held back');
  }
  const [, a] = open(await wire.serve('127.0.0.1:0', source));
  async function relay(call: Call): Promise<void> {
    const [, r] = open(
      await wire.ask({ at: a!.at, method: 'GET', path: '/', within: 60000, gone: call.gone }),
    );
    call.head(200, {});
    for (;;) {
      const [f, p] = open(await r!.next());
      if (f || p === undefined) break;
      if (!(await call.piece(p))) return r!.cancel();
    }
    call.end();
  }
  const [, b] = open(await wire.serve('127.0.0.1:0', relay));
  const [, slow] = open(await wire.ask({ at: b!.at, method: 'GET', path: '/', within: 60000 }));
  await slow!.next();
  expect(await outcome).toBe('held back');
  expect(given).toBeLessThan(PIECES / 2);
  let size = 0;
  for (;;) {
    const [f, p] = open(await slow!.next());
    expect(f).toBeUndefined();
    if (p === undefined) break;
    size += p.length;
  }
  expect(given).toBe(PIECES);
  expect(size).toBeGreaterThan(PIECE.length * (PIECES - 2));
  await a!.close();
  await b!.close();
}

async function goneAway(): Promise<void> {
  const wire = realWire(1000);
  let told: (v: string) => void;
  function wait(go: (v: string) => void): void {
    told = go;
  }
  const outcome = new Promise<string>(wait);
  async function source(call: Call): Promise<void> {
    call.head(200, {});
    await call.piece('one\n');
    function left(): void {
      told('gone');
    }
    call.gone.addEventListener('abort', left);
  }
  const [, a] = open(await wire.serve('127.0.0.1:0', source));
  const [, r] = open(await wire.ask({ at: a!.at, method: 'GET', path: '/', within: 60000 }));
  await r!.next();
  r!.cancel();
  expect(await outcome).toBe('gone');
  await a!.close();
}

test('a slow reader holds the far source back through a relay, and then gets all', heldBack);
test('a caller that goes away is told to the source', goneAway);
