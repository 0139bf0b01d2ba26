#!/usr/bin/env node
/**
 * The operators' command line.
 */

import { Command } from 'commander';
import { makeSystemNetwork } from '../shared/system/tcp-network';
import { makeConsole } from './cli/console';
import { makeControllerClient } from './cli/controller-client';
import { addEvacuationCommands } from './cli/evacuation-commands';
import { addFleetCommands } from './cli/fleet-commands';
import { addHistoryCommands } from './cli/history-commands';
import { addIntentsCommands } from './cli/intents-commands';
import { VERSION } from './daemon';
import { exitOnUsageError } from './exit-codes';

const CONNECT_TIMEOUT_MS = 2000;
const DEFAULT_CONTROLLER = '127.0.0.1:8000';

const program = new Command('plumhollow')
  .description('Drives a plumhollow fleet.')
  .version(VERSION);

function isJson(): boolean {
  return program.opts<{ json?: boolean }>().json === true;
}

function controllerAddresses(): string[] {
  return program.opts<{ at: string }>().at.split(',');
}

program.option(
  '--at <list>',
  "controllers' HTTP addresses, ip:port, comma between; or PLUMHOLLOW_AT",
  process.env.PLUMHOLLOW_AT ?? DEFAULT_CONTROLLER,
);
program.option('--json', 'print JSON');
program.exitOverride(exitOnUsageError);

const console = makeConsole(isJson);
const network = makeSystemNetwork(CONNECT_TIMEOUT_MS);
const client = makeControllerClient(network, console, controllerAddresses);
addIntentsCommands(program, client, console);
addFleetCommands(program, client, console);
addEvacuationCommands(program, client, console);
addHistoryCommands(program, console);
void program.parseAsync();
