import { appendFileSync } from 'node:fs';
import { Ports } from '../../src/shared/ports/ports';
import { makeSystemClock } from '../../src/shared/system/system-clock';
import { makeSystemRandom } from '../../src/shared/system/system-random';
import { makeFileDisk } from '../../src/shared/system/file-disk';
import { makeLogger } from '../../src/shared/system/logger';
import { makeSystemNetwork } from '../../src/shared/system/tcp-network';
import { startEngine } from './engine';
import { EngineWays, LedgerEntry } from './engineways';
import { startLinks } from './links';
import { startPlatform } from './platform';

const [, , sort, json] = process.argv;
const ways = JSON.parse(json) as EngineWays & {
  ledgerFile: string;
  engines: never[];
  bind?: string;
};
const ports: Ports = {
  clock: makeSystemClock(),
  random: makeSystemRandom(),
  disk: makeFileDisk('.'),
  network: makeSystemNetwork(1000, ways.bind),
  logger: makeLogger(sort, ways.id ?? sort),
};

function ledger(e: LedgerEntry): void {
  appendFileSync(ways.ledgerFile, JSON.stringify(e) + '\n');
}

async function run(): Promise<void> {
  const o =
    sort === 'engine'
      ? await startEngine(ports, { ...ways, ledger })
      : sort === 'links'
        ? await startLinks(ports, ways as never)
        : await startPlatform(ports, ways.at, ways.engines);
  process.stdout.write(
    o.isRight() ? `${sort} is up\n` : `${sort}: ${JSON.stringify(o.extract())}\n`,
  );
}

function leave(): void {
  process.exit(0);
}

process.on('SIGTERM', leave);
void run();
