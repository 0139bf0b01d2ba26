/**
 * The settings of a process, and how they are read from files and flags.
 */

import convict from 'convict';
import { Either, Left, Right } from 'purify-ts';
import { errorOrValue, Result } from '../errors/errors';
import { isPlainObject } from '../util/plain-object';
import { readTextFile } from '../util/text-file';
import { parseJson, tryCatch } from '../util/try-catch';
import { SETTINGS_SCHEMA } from './settings-schema';

/** What a process is told at its start. */
export interface Settings {
  name: string;
  zone: string;
  wire: string;
  http: string;
  bind: string;
  seeds: string[];
  founders: string[];
  data: string;
  platform: string;
  changeBoundMs: number;
  leavingBoundMs: number;
  weightsBoundMs: number;
  secondTryShare: number;
  onceKeepMs: number;
  indexMostParts: number;
  bodyMostBytes: number;
  placeBy: 'index' | 'affinity';
  /** How the edges are spoken to: our own manner, or another's. */
  dialect: 'own' | 'platform';
  /** Whether the machine may be suspended while its steady clock stands still. */
  suspends: boolean;
  /** The role that the deployment gives this process. */
  role: string;
  region: string;
  /** Where it is asked whether it takes connections; empty where that is asked at `http`. */
  readiness: string;
  /** Whether a router serves only while a majority's leases last; otherwise it needs them once in its life. */
  strict: boolean;
  /** Whether this start may found a fleet. */
  bootstrap: boolean;
  /** Which founders must be here to found: all of them, or a majority, where it is vouched that an empty disk that may found never was of a fleet. */
  foundBy: 'all' | 'majority';
  /** Whether its loss counts among `tolerated`. */
  quorumMember: boolean;
  /** Machines with a disk that may be lost at once. */
  tolerated: number;
  contactMs: number;
  ackMs: number;
  graceMs: number;
  transitMs: number;
  retryRatio: number;
  retryWindowMs: number;
  /** Further tries that a window allows beside its share, over the whole fleet. */
  retrySlack: number;
  lossSlackMs: number;
  leaseMs: number;
  fencing: boolean;
  catchUpMs: number;
  recoveryMs: number;
  rollbackSlackMs: number;
  skewMs: number;
  thawSlackMs: number;
  /** An engine's address is not given to another within this. */
  reuseMs: number;
  revokeMs: number;
  /** Zones that may be lost at once, each with all of its machines. */
  toleratedZones: number;
  /** An evacuated zone's engines get no new work after this. */
  evacuateMs: number;
  /** After a cut has healed, every controller counts all acknowledged additions to tallies within this. */
  mergeMs: number;
  /** Requests a second that a cold engine may get, as a ratio to what it bears, and how many more. */
  warmUpOvershootRatio: number;
  warmUpSlack: number;
  /** Calls a second that the platform takes from the whole fleet. */
  platformRate: number;
  platformLagMs: number;
  memoryMb: number;
  /** Descriptors that the process may have open. */
  maxOpenFiles: number;
  /** Processor cores' worth of work that this process gets. */
  cores: number;
  /** The region of each zone. */
  zones: Record<string, string>;
}

/** A field of the settings that a flag may set. */
export interface SettingsField {
  name: string;
  doc: string;
  sort: 'string' | 'number' | 'boolean' | 'list';
}

/** A field as the schema declares it, with what is used of it here. */
interface SchemaField {
  doc: string;
  default: unknown;
}

function isFlag([, field]: [string, SchemaField]): boolean {
  return typeof field.default !== 'object' || Array.isArray(field.default);
}

function flagOf([name, field]: [string, SchemaField]): SettingsField {
  const sort = Array.isArray(field.default)
    ? 'list'
    : (typeof field.default as SettingsField['sort']);
  return { name, doc: field.doc, sort };
}

/** The fields of the settings that flags may set, with their texts. */
export function settingsFields(): SettingsField[] {
  return Object.entries(SETTINGS_SCHEMA).filter(isFlag).map(flagOf);
}

/** The settings where nothing is told. */
export function defaultSettings(): Settings {
  return convict(SETTINGS_SCHEMA as never).getProperties() as Settings;
}

function readSettingsFile(file: string): Result<unknown> {
  function parse(text: string): Result<unknown> {
    return parseJson(text, 'read settings', file);
  }
  return readTextFile('read settings', file).chain(parse);
}

/** Reads settings from a file and flags; flags win. Violations: all of them, by field. */
export function readSettings(
  file: string | undefined,
  flags: Record<string, unknown>,
  required: string[],
): Either<string[], Settings> {
  if (file === undefined) return checkSettings({}, flags, required);
  const [error, content] = errorOrValue(readSettingsFile(file) as Result<object>);
  if (error) return Left([`${file}: ${error.reason}`]);
  if (!isPlainObject(content)) return Left([`${file}: must hold an object`]);
  return checkSettings(content, flags, required);
}

function isMissing(value: unknown): boolean {
  return value === '' || (Array.isArray(value) && value.length === 0);
}

/** Checks fields, those of `overrides` before those of `base`, and fills in what is left out. Violations: all of them, by field. */
export function checkSettings(
  base: Record<string, unknown>,
  overrides: Record<string, unknown>,
  required: string[],
): Either<string[], Settings> {
  const config = convict(SETTINGS_SCHEMA as never);
  config.load(base as never);
  config.load(overrides as never);
  function validate(): unknown {
    return config.validate({ allowed: 'strict' });
  }
  const checked = tryCatch('check settings', 'settings', validate);
  const violations = checked.isLeft() ? checked.extract().reason.split('\n') : [];
  const settings = config.getProperties() as Settings;
  for (const name of required)
    if (isMissing(settings[name as keyof Settings])) violations.push(`${name}: is needed`);
  if (settings.founders.length === 0) settings.founders = [...settings.seeds];
  return violations.length > 0 ? Left(violations) : Right(settings);
}
