/**
 * Each command that the README names exists and starts, and has the options that the README gives it.
 */

import { spawnSync } from 'node:child_process';
import { readFileSync } from 'node:fs';
import { join } from 'node:path';

const ROOT = join(__dirname, '..', '..', '..');
/** What CI itself runs: the tests run only after these have passed. */
const RUN_BY_CI = new Set(['build']);

interface Package {
  scripts: Record<string, string>;
}

/** A command as the README names it: the script, and what follows its `--`. */
interface NamedCommand {
  script: string;
  options: string[];
}

function scriptsOf(): Record<string, string> {
  return (JSON.parse(readFileSync(join(ROOT, 'package.json'), 'utf8')) as Package).scripts;
}

function namedCommands(): NamedCommand[] {
  const text = readFileSync(join(ROOT, 'README.md'), 'utf8');
  const commands: NamedCommand[] = [];
  for (const [, script, rest] of text.matchAll(/npm run ([a-z]+)(?: -- ([^`\n]*))?/g))
    commands.push({ script, options: (rest ?? '').match(/--[a-z-]+/g) ?? [] });
  return commands;
}

/** Runs a script without the build before it, which CI has made. */
function runScript(script: string, args: string): { status: number | null; output: string } {
  const command = script.replace('npm run -s build && ', '');
  const run = spawnSync(`${command} ${args}`, {
    cwd: ROOT,
    shell: true,
    encoding: 'utf8',
    env: { ...process.env, PATH: `${join(ROOT, 'node_modules/.bin')}:${process.env.PATH ?? ''}` },
  });
  return { status: run.status, output: run.stdout + run.stderr };
}

function namesCommands(): void {
  const scripts = scriptsOf();
  const named = namedCommands();
  expect(named.length).toBeGreaterThan(8);
  for (const { script } of named) expect(Object.keys(scripts)).toContain(script);
}

function startsEach(): void {
  const scripts = scriptsOf();
  for (const { script, options } of namedCommands()) {
    if (RUN_BY_CI.has(script) || script === 'bundle') continue;
    const { status, output } = runScript(scripts[script], '--help');
    expect({ script, status }).toEqual({ script, status: 0 });
    for (const option of options) expect({ script, output }).toEqual(helpWith(script, option));
  }
}

function helpWith(script: string, option: string): object {
  return { script, output: expect.stringContaining(option) as string };
}

function bundles(): void {
  const { status, output } = runScript(scriptsOf().bundle, '');
  expect({ status, output }).toMatchObject({ status: 0 });
}

describe('the README', readme);

function readme(): void {
  it('names commands that package.json has', namesCommands);
  it('gives each command options that it has', startsEach);
  it('names a bundle that can be made', bundles);
}
