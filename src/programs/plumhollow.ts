#!/usr/bin/env node
import { readFileSync } from 'node:fs';
import { Command } from 'commander';
import { validateIntents, IntentViolation } from '../control/configuration/intents-validation';
import { compareIntentsWithFleet, Finding } from '../control/configuration/intents-consistency';
import { OperationError, errorOrValue, Result, describeError } from '../shared/errors/errors';
import { requestJson } from '../shared/util/http-json';
import { tryCatch, parseJson } from '../shared/util/try-catch';
import { Network } from '../shared/ports/network';
import { makeSystemNetwork } from '../shared/system/tcp-network';
import { Intents } from '../shared/state/intents';
import { VoterStatus, VotersStatus } from '../control/membership/voter-status';
import { VERSION } from './daemon';
import { addHistoryCommands } from './history-command';

const EXIT_OK = 0;
const EXIT_FINDINGS = 1;
const EXIT_USAGE = 2;
const REQUEST_TIMEOUT_MS = 8000;

interface HttpReply {
  status: number;
  body: unknown;
}

const network: Network = makeSystemNetwork(2000);
const program = new Command('plumhollow')
  .description('Drives a plumhollow fleet.')
  .version(VERSION);
program.option(
  '--at <list>',
  "controllers' HTTP addresses, ip:port, comma between; or PLUMHOLLOW_AT",
  process.env.PLUMHOLLOW_AT ?? '127.0.0.1:8000',
);
program.option('--json', 'print JSON');

function print(value: unknown, text: string): void {
  process.stdout.write((program.opts().json ? JSON.stringify(value, null, 2) : text) + '\n');
}

function fail(code: number, text: string): never {
  process.stderr.write(`plumhollow: ${text}\n`);
  return process.exit(code);
}

/** Asks the controllers in turn until one returns; a change is asked of one only, for its fate may be unknown. */
async function requestController(
  method: string,
  path: string,
  body?: unknown,
): Promise<Result<HttpReply>> {
  let last: Result<HttpReply> | undefined;
  for (const at of String(program.opts().at).split(',')) {
    const o = await requestJson(network, {
      address: at,
      method,
      path,
      body: body === undefined ? undefined : JSON.stringify(body),
      timeoutMs: REQUEST_TIMEOUT_MS,
    });
    if (o.isRight()) return o;
    last = o;
    if ((o.extract() as OperationError).certainty !== 'refused' && method !== 'GET') break;
  }
  return last!;
}

async function requestOrExit(method: string, path: string, body?: unknown): Promise<HttpReply> {
  const [f, r] = errorOrValue(await requestController(method, path, body));
  if (f) return fail(EXIT_FINDINGS, describeError(f));
  return r;
}

function readIntents(file: string): { doc?: Intents; faults: IntentViolation[] } {
  const [f, text] = errorOrValue(tryCatch('read file', file, read));
  function read(): string {
    return readFileSync(file, 'utf8');
  }
  if (f) return fail(EXIT_USAGE, describeError(f));
  const [g, raw] = errorOrValue(parseJson(text, 'read file', file));
  if (g) return { faults: [{ path: '', why: g.reason }] };
  const o = validateIntents(raw);
  return o.isLeft() ? { faults: o.extract() } : { doc: o.extract() as Intents, faults: [] };
}

function printViolations(faults: IntentViolation[]): void {
  function line(x: IntentViolation): string {
    return `${x.path || '(file)'}: ${x.why}`;
  }
  print({ faults }, faults.map(line).join('\n'));
}

function printChangeAndExit(r: HttpReply): void {
  const b = r.body as {
    change?: string;
    inEffect?: boolean;
    error?: { code: string; message: string };
    revision?: number;
    key?: string;
    id?: string;
    faults?: IntentViolation[];
  };
  if (r.status === 200 || r.status === 202) {
    const key = b.key ? `\nkey ${b.key}\nid ${b.id}` : '';
    print(
      b,
      `${b.inEffect ? 'in effect' : 'taken, not yet in effect everywhere'}: ${b.change}${key}`,
    );
    return process.exit(EXIT_OK);
  }
  if (b.faults) printViolations(b.faults);
  else
    print(
      b,
      `${b.error?.code}: ${b.error?.message}${r.status === 409 ? ` (revision ${b.revision} stands)` : ''}`,
    );
  process.exit(EXIT_FINDINGS);
}

async function readCurrentIntents(): Promise<{ revision: number; intents: Intents }> {
  return (await requestOrExit('GET', '/v1/intents')).body as { revision: number; intents: Intents };
}

async function apply(file: string, o: { basedOn?: string; dryRun?: boolean }): Promise<void> {
  const { doc, faults } = readIntents(file);
  if (!doc) {
    printViolations(faults);
    return process.exit(EXIT_FINDINGS);
  }
  const basedOn =
    o.basedOn === undefined ? (await readCurrentIntents()).revision : Number(o.basedOn);
  if (!Number.isInteger(basedOn)) return fail(EXIT_USAGE, '--based-on takes a revision');
  const r = await requestOrExit('PUT', '/v1/intents', {
    basedOn,
    intents: doc,
    dryRun: o.dryRun === true,
  });
  if (o.dryRun && r.status === 200) {
    print(r.body, `would be applied on revision ${basedOn}`);
    return process.exit(EXIT_OK);
  }
  printChangeAndExit(r);
}

function diffLists(now: Intents, then: Intents): string[] {
  const out: string[] = [];
  for (const kind of ['tenants', 'models', 'services', 'rules', 'cacheStores'] as const) {
    const a = new Set((now[kind] as object[]).map(text));
    const b = new Set((then[kind] as object[]).map(text));
    for (const x of a) if (!b.has(x)) out.push(`- ${kind} ${x}`);
    for (const x of b) if (!a.has(x)) out.push(`+ ${kind} ${x}`);
  }
  return out;
  function text(x: object): string {
    return JSON.stringify(Object.fromEntries(Object.entries(x).sort()));
  }
}

async function diff(file: string): Promise<void> {
  const { doc, faults } = readIntents(file);
  if (!doc) {
    printViolations(faults);
    return process.exit(EXIT_FINDINGS);
  }
  const now = await readCurrentIntents();
  const lines = diffLists(now.intents, doc);
  print(
    { revision: now.revision, changes: lines },
    lines.length > 0 ? lines.join('\n') : 'no difference',
  );
  process.exit(lines.length > 0 ? EXIT_FINDINGS : EXIT_OK);
}

async function check(file: string): Promise<void> {
  const { doc, faults } = readIntents(file);
  if (!doc) {
    printViolations(faults);
    return process.exit(EXIT_FINDINGS);
  }
  const fleet = (await requestOrExit('GET', '/v1/fleet')).body;
  const keys = (await requestOrExit('GET', '/v1/keys')).body;
  const weights = (await requestOrExit('GET', '/v1/weights')).body;
  const found = await compareIntentsWithFleet(
    network,
    doc,
    fleet as never,
    keys as never,
    weights as never,
    REQUEST_TIMEOUT_MS / 4,
  );
  function line(x: Finding): string {
    return `${x.path}: ${x.why}`;
  }
  print({ findings: found }, found.length > 0 ? found.map(line).join('\n') : 'no findings');
  process.exit(found.length > 0 ? EXIT_FINDINGS : EXIT_OK);
}

/** The voters, whether they bear a loss and why not, and the joint set that is under way. */
function formatVoterStatus(s: VotersStatus): string[] {
  function voter(x: VoterStatus): string {
    const progress =
      x.behind === undefined ? 'no answer' : `epoch ${x.epoch}, ${x.behind} changes behind`;
    return `  ${x.at} ${x.state}, ${progress}`;
  }
  function reason(x: { reason: string; at?: string }): string {
    return x.at ? `${x.reason} ${x.at}` : x.reason;
  }
  const joint = s.joint
    ? [`joint set with ${s.joint.next.join(' ')} for ${Math.round(s.joint.sinceMs)} ms`]
    : [];
  const bears = s.bearsLoss
    ? 'a loss now would be borne'
    : `no loss would be borne now: ${s.reasons.map(reason).join(', ')}`;
  return ['voters', ...s.voters.map(voter), ...joint, bears];
}

async function status(): Promise<void> {
  const b = (await requestOrExit('GET', '/v1/fleet')).body as {
    controller: string;
    majority: boolean;
    diskFit: boolean;
    live: string[];
    revision: number;
    standing: VotersStatus;
    members: { name: string; role: string; at: string; zone: string }[];
    engines: { id: string; at: string; weights: string; leaving: boolean }[];
  };
  function member(m: { name: string; role: string; at: string; zone: string }): string {
    return `  ${m.role} ${m.name} ${m.at} ${m.zone}`;
  }
  function engine(e: { id: string; at: string; weights: string; leaving: boolean }): string {
    return `  ${e.id} ${e.at} ${e.weights}${e.leaving ? ' leaving' : ''}`;
  }
  print(
    b,
    [
      `seen by ${b.controller}: ${b.majority ? 'in a majority' : 'no majority'}, disk ${b.diskFit ? 'fit' : 'unfit'}, revision ${b.revision}`,
      `core ${b.live.join(' ')}`,
      ...formatVoterStatus(b.standing),
      'members',
      ...b.members.map(member),
      'engines',
      ...b.engines.map(engine),
    ].join('\n'),
  );
  process.exit(b.majority ? EXIT_OK : EXIT_FINDINGS);
}

async function printPath(path: string): Promise<void> {
  const b = (await requestOrExit('GET', path)).body;
  print(b, JSON.stringify(b, null, 2));
  process.exit(EXIT_OK);
}

async function keysAdd(tenant: string): Promise<void> {
  printChangeAndExit(await requestOrExit('POST', `/v1/keys/${encodeURIComponent(tenant)}`, {}));
}

async function keysDrop(tenant: string, id: string): Promise<void> {
  printChangeAndExit(
    await requestOrExit(
      'DELETE',
      `/v1/keys/${encodeURIComponent(tenant)}/${encodeURIComponent(id)}`,
    ),
  );
}

async function nameWeights(model: string, weights: string): Promise<void> {
  printChangeAndExit(
    await requestOrExit('PUT', `/v1/weights/${encodeURIComponent(model)}`, { weights }),
  );
}

async function addRule(tenant: string, label: string, service: string): Promise<void> {
  const now = await readCurrentIntents();
  const intents = { ...now.intents, rules: [...now.intents.rules, { tenant, label, service }] };
  printChangeAndExit(await requestOrExit('PUT', '/v1/intents', { basedOn: now.revision, intents }));
}

async function dropRule(tenant: string, label: string): Promise<void> {
  const now = await readCurrentIntents();
  function other(r: { tenant: string; label: string }): boolean {
    return r.tenant !== tenant || r.label !== label;
  }
  printChangeAndExit(
    await requestOrExit('PUT', '/v1/intents', {
      basedOn: now.revision,
      intents: { ...now.intents, rules: now.intents.rules.filter(other) },
    }),
  );
}

async function bootstrapFleet(o: { without: string[] }): Promise<void> {
  const r = await requestOrExit('POST', '/v1/found', { without: o.without });
  const b = r.body as { error?: { code: string; message: string } };
  print(b, r.status === 200 ? 'the fleet is founded' : `${b.error?.code}: ${b.error?.message}`);
  process.exit(r.status === 200 ? EXIT_OK : EXIT_FINDINGS);
}

async function replaceVoter(out: string, into: string): Promise<void> {
  const r = await requestOrExit('POST', '/v1/voters', { out, into });
  const b = r.body as { error?: { code: string; message: string } };
  print(
    b,
    r.status === 200
      ? `${into} votes in the place of ${out}`
      : `${b.error?.code}: ${b.error?.message}; repeat the command`,
  );
  process.exit(r.status === 200 ? EXIT_OK : EXIT_FINDINGS);
}

function showIntents(): Promise<void> {
  return printPath('/v1/intents');
}

function showKeys(): Promise<void> {
  return printPath('/v1/keys');
}

function showWeights(): Promise<void> {
  return printPath('/v1/weights');
}

function showChange(change: string): Promise<void> {
  return printPath(
    `/v1/changes/${encodeURIComponent(change).replaceAll('%7E', '~').replaceAll('%3A', ':')}`,
  );
}

function exitOnUsageError(e: { exitCode: number }): never {
  return process.exit(e.exitCode === 0 ? EXIT_OK : EXIT_USAGE);
}

program.exitOverride(exitOnUsageError);
program
  .command('apply <file>')
  .description('apply a whole intents file')
  .option('--based-on <revision>', 'the revision it was made from; the standing one where left out')
  .option('--dry-run', 'check only')
  .action(apply);
program.command('diff <file>').description('what a file would change').action(diff);
program.command('check <file>').description('compare a file with the fleet as it is').action(check);
program.command('status').description('the fleet as a controller sees it').action(status);
program.command('intents').description('the intents that stand').action(showIntents);
program.command('change <change>').description('how far a change has come').action(showChange);
const keys = program.command('keys').description("tenants' keys");
keys.command('list').action(showKeys);
keys.command('add <tenant>').description('make a key; it is shown once').action(keysAdd);
keys.command('drop <tenant> <id>').description('withdraw a key').action(keysDrop);
const weights = program.command('weights').description('named weights');
weights.command('list').action(showWeights);
weights
  .command('name <model> <weights>')
  .description('name new weights of a model')
  .action(nameWeights);
const rules = program
  .command('rules')
  .description('small changes: a new whole file built from the standing one');
rules.command('add <tenant> <label> <service>').action(addRule);
rules.command('drop <tenant> <label>').action(dropRule);
const voters = program.command('voters').description('the core machines whose disks vote');
voters
  .command('replace <out> <into>')
  .description(
    'replace a lost core machine (address or disk id) by an empty one (ip:port); safe to repeat',
  )
  .action(replaceVoter);
program
  .command('found')
  .description('found a blank fleet while a minority of the founders is not there')
  .requiredOption('--without <addresses...>', 'the founders that are not there (ip:port)')
  .action(bootstrapFleet);
addHistoryCommands(program, { print, fail });
void program.parseAsync();
