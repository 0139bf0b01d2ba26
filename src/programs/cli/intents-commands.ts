/**
 * Commands that read, compare and apply the operators' intents.
 */

import { Command } from 'commander';
import { compareIntentsWithFleet, Finding } from '../../control/configuration/intents-consistency';
import { IntentViolation, validateIntents } from '../../control/configuration/intents-validation';
import { describeError, errorOrValue } from '../../shared/errors/errors';
import { Intents } from '../../shared/state/intents';
import { parseJson } from '../../shared/util/try-catch';
import { readTextFile } from '../../shared/util/text-file';
import { printChangeAndExit, printViolations } from './change-reply';
import { Console } from './console';
import { ControllerClient, REQUEST_TIMEOUT_MS } from './controller-client';
import { EXIT_FINDINGS, EXIT_OK, EXIT_USAGE } from '../exit-codes';

/** How long a store of kept blocks may take to answer when intents are compared with the fleet. */
const STORE_TIMEOUT_MS = REQUEST_TIMEOUT_MS / 4;

const INTENT_KINDS = ['tenants', 'models', 'services', 'rules', 'cacheStores'] as const;

interface ApplyOptions {
  basedOn?: string;
  dryRun?: boolean;
}

function canonicalText(item: object): string {
  return JSON.stringify(Object.fromEntries(Object.entries(item).sort()));
}

/** The items that a file removes and adds, as lines. */
function diffIntents(current: Intents, planned: Intents): string[] {
  const lines: string[] = [];
  for (const kind of INTENT_KINDS) {
    const before = new Set((current[kind] as object[]).map(canonicalText));
    const after = new Set((planned[kind] as object[]).map(canonicalText));
    for (const item of before) if (!after.has(item)) lines.push(`- ${kind} ${item}`);
    for (const item of after) if (!before.has(item)) lines.push(`+ ${kind} ${item}`);
  }
  return lines;
}

/** Adds the commands. */
export function addIntentsCommands(
  program: Command,
  client: ControllerClient,
  console: Console,
): void {
  function readIntentsFile(file: string): { intents?: Intents; violations: IntentViolation[] } {
    const [unreadable, text] = errorOrValue(readTextFile('read file', file));
    if (unreadable) return console.fail(EXIT_USAGE, describeError(unreadable));
    const [invalid, document] = errorOrValue(parseJson(text, 'read file', file));
    if (invalid) return { violations: [{ path: '', why: invalid.reason }] };
    const validated = validateIntents(document);
    return validated.isLeft()
      ? { violations: validated.extract() }
      : { intents: validated.extract() as Intents, violations: [] };
  }

  /** Reads a file; one with violations is told, and ends the program. */
  function requireIntentsFile(file: string): Intents {
    const { intents, violations } = readIntentsFile(file);
    if (intents) return intents;
    printViolations(console, violations);
    return process.exit(EXIT_FINDINGS);
  }

  async function readCurrent(): Promise<{ revision: number; intents: Intents }> {
    const { body } = await client.request('GET', '/v1/intents');
    return body as { revision: number; intents: Intents };
  }

  async function apply(file: string, options: ApplyOptions): Promise<void> {
    const intents = requireIntentsFile(file);
    const basedOn =
      options.basedOn === undefined ? (await readCurrent()).revision : Number(options.basedOn);
    if (!Number.isInteger(basedOn)) return console.fail(EXIT_USAGE, '--based-on takes a revision');
    const dryRun = options.dryRun === true;
    const reply = await client.request('PUT', '/v1/intents', { basedOn, intents, dryRun });
    if (dryRun && reply.status === 200) {
      console.print(reply.body, `would be applied on revision ${basedOn}`);
      return process.exit(EXIT_OK);
    }
    printChangeAndExit(console, reply);
  }

  async function diff(file: string): Promise<void> {
    const planned = requireIntentsFile(file);
    const { revision, intents } = await readCurrent();
    const changes = diffIntents(intents, planned);
    console.print({ revision, changes }, changes.length > 0 ? changes.join('\n') : 'no difference');
    process.exit(changes.length > 0 ? EXIT_FINDINGS : EXIT_OK);
  }

  async function check(file: string): Promise<void> {
    const intents = requireIntentsFile(file);
    const fleet = (await client.request('GET', '/v1/fleet')).body;
    const keys = (await client.request('GET', '/v1/keys')).body;
    const weights = (await client.request('GET', '/v1/weights')).body;
    const findings = await compareIntentsWithFleet(
      client.network,
      intents,
      fleet as never,
      keys as never,
      weights as never,
      STORE_TIMEOUT_MS,
    );
    function lineOf(finding: Finding): string {
      return `${finding.path}: ${finding.why}`;
    }
    const text = findings.length > 0 ? findings.map(lineOf).join('\n') : 'no findings';
    console.print({ findings }, text);
    process.exit(findings.length > 0 ? EXIT_FINDINGS : EXIT_OK);
  }

  async function addRule(tenant: string, label: string, service: string): Promise<void> {
    const current = await readCurrent();
    const rules = [...current.intents.rules, { tenant, label, service }];
    await putRules(current, rules);
  }

  async function dropRule(tenant: string, label: string): Promise<void> {
    const current = await readCurrent();
    function isOther(rule: { tenant: string; label: string }): boolean {
      return rule.tenant !== tenant || rule.label !== label;
    }
    await putRules(current, current.intents.rules.filter(isOther));
  }

  async function putRules(
    current: { revision: number; intents: Intents },
    rules: Intents['rules'],
  ): Promise<void> {
    const intents = { ...current.intents, rules };
    const change = { basedOn: current.revision, intents };
    printChangeAndExit(console, await client.request('PUT', '/v1/intents', change));
  }

  program
    .command('apply <file>')
    .description('apply a whole intents file')
    .option(
      '--based-on <revision>',
      'the revision it was made from; the standing one where left out',
    )
    .option('--dry-run', 'check only')
    .action(apply);
  program.command('diff <file>').description('what a file would change').action(diff);
  program
    .command('check <file>')
    .description('compare a file with the fleet as it is')
    .action(check);
  const rules = program
    .command('rules')
    .description('small changes: a new whole file built from the standing one');
  rules.command('add <tenant> <label> <service>').action(addRule);
  rules.command('drop <tenant> <label>').action(dropRule);
}
