import { ChildProcess, spawn } from 'node:child_process';
import { mkdtempSync, writeFileSync } from 'node:fs';
import net from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { usersPlatform } from '../../platform/adapter';
import { Settings } from '../../src/shared/settings/settings';

const children: ChildProcess[] = [];
const servers: net.Server[] = [];

function fileOf(seedIp: string, port: number, more = ''): string {
  return `nodeName = "core-a-1"
role = "indexer"
machineClass = "core"
ipAddress = "127.0.0.1"
zone = "a"
region = "r"
internalPortRange = [${port},0]
seedNodes = ["${seedIp}:9"]
bootstrap = true
quorumMember = true
heartbeatMs = 1200
dataDirectory = "/data/x"
${more}
[zones]
a = "r"
b = "r"
[faultTolerance]
machines = 1
zones = 1
[limits]
cpuShare = 0.81
memoryMb = 346
maxOpenFiles = 4100
[guarantees]
contactMs = 60000
configApplyMs = 2000
drainMs = 3000
versionMs = 8000
revocationStrict = false
retryWindowS = 10
graceS = 8
evacuateMs = 5500
mergeMs = 3500
warmupOvershoot = 1.25
warmupSlack = 6
[platformApi]
address = "10.200.0.56:8161"
ratePerS = 47.0
maxLagMs = 800
`;
}

function read(): void {
  const s = usersPlatform
    .settings(fileOf('10.1.0.39', 7640).replace(',0]', ',7655]'))
    .extract() as Settings;
  expect(s).toMatchObject({
    dialect: 'platform',
    name: 'core-a-1',
    role: 'indexer',
    wire: '127.0.0.1:7655',
    http: '',
    seeds: ['10.1.0.39:7640'],
    founders: ['10.1.0.39:7640'],
    strict: false,
    suspends: false,
    changeBoundMs: 2000,
    leavingBoundMs: 3000,
    weightsBoundMs: 8000,
    retryWindowMs: 10000,
    graceMs: 8000,
    contactMs: 60000,
    platform: '10.200.0.56:8161',
    platformRate: 47,
    memoryMb: 346,
    maxOpenFiles: 4100,
    cores: 0.81,
    tolerated: 1,
    toleratedZones: 1,
    evacuateMs: 5500,
    mergeMs: 3500,
    warmUpOvershootRatio: 1.25,
    warmUpSlack: 6,
    zones: { a: 'r', b: 'r' },
    data: '/data/x',
    bootstrap: true,
    quorumMember: true,
  });
  const router = usersPlatform
    .settings(
      fileOf('10.1.0.39', 7640).replace('"indexer"', '"router"') +
        '[bindAddresses]\nfrontend = "10.1.0.36:8167"\nreadiness = "10.1.0.36:8162"\n',
    )
    .extract() as Settings;
  expect(router).toMatchObject({
    wire: '127.0.0.1:7640',
    http: '10.1.0.36:8167',
    readiness: '10.1.0.36:8162',
  });
  expect(usersPlatform.settings(fileOf('10.1.0.39', 7640, 'unknown = 3')).isRight()).toBe(true);
  const faults = usersPlatform
    .settings(
      fileOf('here', 7640)
        .replace('contactMs = 60000', 'contactMs = "soon"')
        .replace('ratePerS = 47.0', 'ratePerS = 0'),
    )
    .extract() as string[];
  expect(faults.join('\n')).toMatch(/guarantees.contactMs: .*\n?(.*\n)*platformApi.ratePerS: /);
  expect(faults.join('\n')).toMatch(/seeds: must be ip:port/);
  expect(usersPlatform.settings('nodeName = ').isLeft()).toBe(true);
}

/** Listens for one dial. */
function listen(ip: string, port: number): Promise<{ port: number; dialled: Promise<void> }> {
  function wait(done: (x: { port: number; dialled: Promise<void> }) => void): void {
    function first(told: () => void): void {
      function arrived(s: net.Socket): void {
        s.destroy();
        told();
      }
      server.on('connection', arrived);
    }
    const server = net.createServer();
    const dialled = new Promise<void>(first);
    servers.push(server);
    function up(): void {
      done({ port: (server.address() as net.AddressInfo).port, dialled });
    }
    server.listen(port, ip, up);
  }
  return new Promise(wait);
}

async function reread(): Promise<void> {
  const first = await listen('127.0.0.2', 0);
  const second = await listen('127.0.0.3', first.port);
  const file = join(mkdtempSync(join(tmpdir(), 'ph-')), 'node.toml');
  writeFileSync(file, fileOf('127.0.0.2', first.port));
  const p = spawn(process.execPath, [join(__dirname, '../../src/programs/indexer.js')], {
    env: { ...process.env, PLUMHOLLOW_SETTINGS: file },
    stdio: 'ignore',
  });
  children.push(p);
  await first.dialled;
  writeFileSync(file, fileOf('127.0.0.3', first.port));
  p.kill('SIGHUP');
  await second.dialled;
  expect(p.exitCode).toBeNull();
}

function stopAll(): void {
  for (const c of children) c.kill('SIGKILL');
  for (const s of servers) s.close();
}

afterAll(stopAll);
test(
  "the platform's settings file is read; unknown fields are passed over, faults are told in its words",
  read,
);
test('a process takes over the seeds that its file names at SIGHUP, and goes on', reread);
