/**
 * A daemon's settings from its command line, and from the file that `--settings` names.
 */

import { Command } from 'commander';
import { Either } from 'purify-ts';
import { readSettings, Settings, SettingsField, settingsFields } from '../shared/settings/settings';
import { exitOnUsageError } from './exit-codes';

/** The flag of a setting: `graceMs` is set by `--grace-ms`. */
function flagName(setting: string): string {
  return '--' + setting.replace(/[A-Z]/g, withHyphen);
}

function withHyphen(letter: string): string {
  return '-' + letter.toLowerCase();
}

function parseList(text: string): string[] {
  return text.split(',').filter(Boolean);
}

function parseBoolean(text: string): boolean {
  return text === 'true';
}

function addFlag(command: Command, { name, doc, sort }: SettingsField): void {
  const flag = flagName(name);
  switch (sort) {
    case 'list':
      command.option(`${flag} <list>`, `${doc} (comma between)`, parseList);
      return;
    case 'number':
      command.option(`${flag} <number>`, doc, Number);
      return;
    case 'boolean':
      command.option(`${flag} <true|false>`, doc, parseBoolean);
      return;
    case 'string':
      command.option(`${flag} <value>`, doc);
  }
}

/** Reads a daemon's settings from its flags and the file that they name; flags win. Every violation is listed. */
export function readFlags(
  program: string,
  description: string,
  version: string,
  requiredSettings: string[],
): Either<string[], Settings> {
  const command = new Command(program)
    .description(description)
    .version(version)
    .option('--settings <file>', 'a JSON file of settings fields; flags win');
  for (const field of settingsFields()) addFlag(command, field);
  command.exitOverride(exitOnUsageError);
  command.parse();
  const { settings: file, ...flags } = command.opts<{ settings?: string }>();
  return readSettings(file, flags, requiredSettings);
}
