import { Command } from 'commander';
import { Either } from 'purify-ts';
import { readSettings, Settings, settingsFields } from '../shared/settings/settings';

function flagName(name: string): string {
  return '--' + name.replace(/[A-Z]/g, lower);
}

function lower(c: string): string {
  return '-' + c.toLowerCase();
}

function parseList(v: string): string[] {
  return v.split(',').filter(Boolean);
}

function parseBoolean(v: string): boolean {
  return v === 'true';
}

function exitOnUsageError(e: { exitCode: number }): never {
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
    if (f.sort === 'list') cmd.option(`${flagName(f.name)} <list>`, text, parseList);
    else if (f.sort === 'number') cmd.option(`${flagName(f.name)} <number>`, text, Number);
    else if (f.sort === 'boolean')
      cmd.option(`${flagName(f.name)} <true|false>`, text, parseBoolean);
    else cmd.option(`${flagName(f.name)} <value>`, text);
  }
  cmd.exitOverride(exitOnUsageError);
  cmd.parse();
  const { settings: file, ...flags } = cmd.opts() as { settings?: string };
  return readSettings(file, flags, need);
}
