import net from 'node:net';
import { deployment, route, startGatewayFixture } from './gateway-fixture';
import { say } from './bare-caller';

/** A bare peer: it shows what was said to it and says what a test has written down. */
interface Bare {
  at: string;
  close: () => void;
}

/** What engines are to answer, in the order in which they are asked, and what was said so far; engines are named in that order. */
interface Script {
  answers: string[];
  said: string[];
  names: Map<string, string>;
}

/** Listens as an engine does: each whole request that comes is written down, then the next answer is given. */
async function bareEngine(id: string, x: Script): Promise<Bare> {
  const open = new Set<net.Socket>();
  const server = net.createServer(taken);
  function taken(s: net.Socket): void {
    let held = '';
    open.add(s);
    function data(p: Buffer): void {
      held += p.toString('latin1');
      const head = held.indexOf('\r\n\r\n');
      const length = Number(/content-length: (\d+)/i.exec(held)?.[1] ?? 0);
      if (head < 0 || held.length < head + 4 + length) return;
      const name = x.names.get(id) ?? ['first', 'second'][x.names.size];
      x.names.set(id, name);
      x.said.push(
        `-> ${name} engine\n${tidy(held).replace(`instance: ${id}`, `instance: (${name})`)}`,
      );
      held = '';
      const answer = x.answers.shift() ?? '';
      x.said.push(`<- ${name} engine\n${tidy(answer)}`);
      s.write(answer, 'latin1');
      function cut(): void {
        s.destroy();
      }
      if (answer.endsWith('half')) setImmediate(cut);
    }
    function nothing(): void {
      // does nothing on purpose
    }
    s.on('data', data);
    s.on('error', nothing);
  }
  function listen(done: () => void): void {
    server.listen(0, '127.0.0.1', done);
  }
  await new Promise<void>(listen);
  function close(): void {
    server.close();
    for (const s of open) s.destroy();
  }
  return { at: `127.0.0.1:${(server.address() as net.AddressInfo).port}`, close };
}

function tidy(text: string): string {
  return text
    .replaceAll('\r\n', '\n')
    .replace(/deadline-ms: \d+/, 'deadline-ms: (what is left)')
    .replace(/\nDate: [^\n]*/, '')
    .replace(/Retry-After: [\d.]+/, 'Retry-After: (seconds)')
    .replace(/priority: \d/, 'priority: (0 to 9)');
}

function request(path: string): string {
  return `POST ${path} HTTP/1.1
Host: desk.example
Plumhollow-Attempt-Id: 9c41
Plumhollow-Model: m
Plumhollow-Token-Count: 1460,80
Plumhollow-Prompt-Prefix: 5c1e07a2:800,91bd3f06:410
Plumhollow-Deadline-Ms: 2000
Authorization: Token k1
X-Own:  Kept As-Is
Connection: close
Content-Length: 5

hello`;
}

function answer(status: string, headers: string, body: string): string {
  return `HTTP/1.1 ${status}\nPlumhollow-Attempt-Id: 9c41\n${headers}\n${body}`.replaceAll(
    '\n',
    '\r\n',
  );
}

function chunk(text: string): string {
  const ends = text.split('\n').length - 1;
  return `${(text.length + ends + 4).toString(16)}\n${text}\n\n\n`;
}

const STAMP =
  'Plumhollow-Response-Seal: 3e1b.07\nPlumhollow-Weight-Versions: m:1\nContent-Type: text/event-stream\nTransfer-Encoding: chunked\n';

async function exchange(path: string, answers: string[]): Promise<string> {
  const x: Script = { answers, said: [], names: new Map() };
  const a = await bareEngine('e1', x);
  const b = await bareEngine('e2', x);
  const rig = await startGatewayFixture({
    deployment: deployment([route({}), route({ name: 's', prefix: '/s/', resumable: true })]),
    settings: { retryWindowMs: 1, retrySlack: 100 },
  });
  rig.publishEngines([
    { id: 'e1', at: a.at },
    { id: 'e2', at: b.at },
  ]);
  const q = request(path);
  x.said.push(`-> router\n${q}`);
  x.said.push(`<- router\n${tidy(await say(rig.address, q))}`);
  await rig.close();
  a.close();
  b.close();
  return x.said.join('\n\n');
}

async function calm(): Promise<void> {
  expect(
    await exchange('/a/x?y=1', [
      answer('200 OK', STAMP, `${chunk('id: 1\ndata: a')}${chunk('id: 2\ndata: b')}0\n\n`),
    ]),
  ).toMatchSnapshot();
}

async function turnedAway(): Promise<void> {
  const full = answer(
    '503 Service Unavailable',
    'Plumhollow-Not-Executed: 1\nContent-Length: 0\n',
    '',
  );
  expect(
    await exchange('/a/x', [full, answer('200 OK', STAMP, `${chunk('id: 1\ndata: a')}0\n\n`)]),
  ).toMatchSnapshot();
}

async function takenUp(): Promise<void> {
  const broken = answer('200 OK', STAMP, `${chunk('id: 1\ndata: a')}1f\nid: 2\nhalf`);
  expect(
    await exchange('/s/x', [broken, answer('200 OK', STAMP, `${chunk('id: 2\ndata: b')}0\n\n`)]),
  ).toMatchSnapshot();
}

async function nowhere(): Promise<void> {
  const away = answer(
    '421 Misdirected Request',
    'Plumhollow-Instance-Id: other\nContent-Length: 0\n',
    '',
  );
  expect(await exchange('/a/x', [away, away])).toMatchSnapshot();
}

test('a calm request', calm);
test('an engine turns a request away, and a second one takes it', turnedAway);
test('a stream is taken up inside one answer', takenUp);
test('no engine runs a request', nowhere);
