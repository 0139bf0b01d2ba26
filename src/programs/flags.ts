import { Command } from 'commander';
import { Either } from 'purify-ts';
import { readSettings, Settings, settingsFields } from '../shared/settings/settings';

function flagOf(name: string): string {
  return '--' + name.replace(/[A-Z]/g, lower);
}

function lower(c: string): string {
  return '-' + c.toLowerCase();
}

function list(v: string): string[] {
  return v.split(',').filter(Boolean);
}

function isTrue(v: string): boolean {
  return v === 'true';
}

function badUse(e: { exitCode: number }): never {
  process.exit(e.exitCode === 0 ? 0 : 2);
}

/** Reads a daemon's settings from its flags and the file that they name. */
export function readFlags(
  program: string,
  doc: string,
  version: string,
  need: string[],
): Either<string[], Settings> {
  const cmd = new Command(program)
    .description(doc)
    .version(version)
    .option('--settings <file>', 'a JSON file of settings fields; flags win');
  for (const f of settingsFields()) {
    const text = f.sort === 'list' ? `${f.doc} (comma between)` : f.doc;
    if (f.sort === 'list') cmd.option(`${flagOf(f.name)} <list>`, text, list);
    else if (f.sort === 'number') cmd.option(`${flagOf(f.name)} <number>`, text, Number);
    else if (f.sort === 'boolean') cmd.option(`${flagOf(f.name)} <true|false>`, text, isTrue);
    else cmd.option(`${flagOf(f.name)} <value>`, text);
  }
  cmd.exitOverride(badUse);
  cmd.parse();
  const { settings: file, ...flags } = cmd.opts() as { settings?: string };
  return readSettings(file, flags, need);
}
