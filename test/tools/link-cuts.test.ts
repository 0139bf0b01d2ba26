import { ChildProcess, spawn } from 'node:child_process';
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import net from 'node:net';
import { tmpdir } from 'node:os';
import { join, resolve } from 'node:path';
import { CUTS_FILE, CUTS_IP, LinkCut } from '../../tools/fleet/link-cuts';

const HOOK = resolve(__dirname, '../../tools/fleet/link-cuts.js');
const HERE = '127.88.1.1';
const NEAR = '127.88.1.2';
const FAR = '127.88.1.3';
/** So many ticks of the near link stand for a time in which the far one is silent. */
const TICKS = 30;
const TICK_MS = 5;

/** Writes a tick to each peer again and again, and says on its output what it reads from which. */
const PROGRAM = `
  const net = require('node:net');
  for (const at of process.argv.slice(1)) {
    const [host, port] = at.split(':');
    const socket = net.connect({ host, port: Number(port) });
    setInterval(() => socket.write('t'), ${TICK_MS});
    socket.on('data', (bytes) => process.stdout.write(host + ' ' + bytes.length + '\\n'));
  }`;

/** A peer that ticks to each of its callers, and counts what it is sent. */
interface Peer {
  at: string;
  ticks: () => number;
  connections: () => number;
  close: () => void;
}

async function startPeer(host: string): Promise<Peer> {
  let count = 0;
  const sockets: net.Socket[] = [];
  const timers: NodeJS.Timeout[] = [];
  function accept(socket: net.Socket): void {
    sockets.push(socket);
    function tick(): void {
      socket.write('t');
    }
    timers.push(setInterval(tick, TICK_MS));
    socket.on('data', counted);
    socket.on('error', close);
  }
  function counted(bytes: Buffer): void {
    count += bytes.length;
  }
  function close(): void {
    for (const timer of timers) clearInterval(timer);
    for (const socket of sockets) socket.destroy();
    server.close();
  }
  const server = net.createServer(accept);
  function listen(done: () => void): void {
    server.listen(0, host, done);
  }
  await new Promise<void>(listen);
  function ticks(): number {
    return count;
  }
  function connections(): number {
    return sockets.length;
  }
  const { port } = server.address() as net.AddressInfo;
  return { at: `${host}:${port}`, ticks, connections, close };
}

/** A process whose links can be cut, and its peers. */
class Rig {
  private readonly folder = mkdtempSync(join(tmpdir(), 'plumhollow-cuts-'));
  private readonly file = join(this.folder, 'cuts.json');
  private readonly read = new Map<string, number>();
  private child: ChildProcess | undefined;

  constructor(
    readonly near: Peer,
    readonly far: Peer,
  ) {}

  start(): void {
    const args = ['--require', HOOK, '-e', PROGRAM, this.near.at, this.far.at];
    const env = { PATH: process.env.PATH, [CUTS_FILE]: this.file, [CUTS_IP]: HERE };
    this.child = spawn(process.execPath, args, { env, stdio: ['ignore', 'pipe', 'inherit'] });
    this.child.stdout!.on('data', this.said.bind(this));
  }

  tell(cuts: LinkCut[]): void {
    writeFileSync(this.file, JSON.stringify(cuts));
  }

  /** What the process has read from a peer. */
  readFrom(ip: string): number {
    return this.read.get(ip) ?? 0;
  }

  stop(): void {
    this.child?.kill('SIGKILL');
    this.near.close();
    this.far.close();
    rmSync(this.folder, { recursive: true, force: true });
  }

  private said(bytes: Buffer): void {
    for (const line of String(bytes).trim().split('\n')) {
      const [ip, count] = line.split(' ');
      this.read.set(ip, this.readFrom(ip) + Number(count));
    }
  }
}

let running: Rig | undefined;

async function startRig(): Promise<Rig> {
  running = new Rig(await startPeer(NEAR), await startPeer(FAR));
  return running;
}

function stopRunning(): void {
  running?.stop();
  running = undefined;
}

async function until(test: () => boolean): Promise<void> {
  function turn(done: () => void): void {
    setTimeout(done, TICK_MS);
  }
  while (!test()) await new Promise<void>(turn);
}

/** Comes once the near link has gone on for a while, both ways. */
async function nearGoesOn(rig: Rig): Promise<void> {
  const sent = rig.near.ticks() + TICKS;
  const read = rig.readFrom(NEAR) + TICKS;
  function hasGoneOn(): boolean {
    return rig.near.ticks() >= sent && rig.readFrom(NEAR) >= read;
  }
  await until(hasGoneOn);
}

const CUT: LinkCut[] = [{ inside: [HERE], outside: [FAR] }];

/** A link that is up is silent both ways while it is cut, and gives all of it once it has healed. */
async function cutsLinks(): Promise<void> {
  const rig = await startRig();
  rig.tell([]);
  rig.start();
  function isFarUp(): boolean {
    return rig.far.ticks() > 0 && rig.readFrom(FAR) > 0;
  }
  await until(isFarUp);
  rig.tell(CUT);
  await nearGoesOn(rig);
  const [sent, read] = [rig.far.ticks(), rig.readFrom(FAR)];
  await nearGoesOn(rig);
  expect([rig.far.ticks(), rig.readFrom(FAR)]).toEqual([sent, read]);
  rig.tell([]);
  function isCaughtUp(): boolean {
    return rig.far.ticks() >= sent + TICKS && rig.readFrom(FAR) >= read + TICKS;
  }
  await until(isCaughtUp);
}

/** No connection comes up over a link that is cut, until it has healed. */
async function cutsConnects(): Promise<void> {
  const rig = await startRig();
  rig.tell(CUT);
  rig.start();
  await nearGoesOn(rig);
  expect(rig.far.connections()).toBe(0);
  rig.tell([]);
  function isFarUp(): boolean {
    return rig.far.ticks() > 0 && rig.readFrom(FAR) > 0;
  }
  await until(isFarUp);
  expect(rig.far.connections()).toBe(1);
}

afterEach(stopRunning);

test('a link that is cut is silent both ways, and gives all once it has healed', cutsLinks);
test('no connection comes up over a link that is cut', cutsConnects);
