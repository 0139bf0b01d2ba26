/**
 * Commands that show the fleet, drive keys and weights, and change who votes.
 */

import { Command } from 'commander';
import { VoterStatus, VotersStatus } from '../../control/membership/voter-status';
import { TalliesPeerStatus, TalliesStatus } from '../../control/tallies/tally-status';
import { printChangeAndExit } from './change-reply';
import { Console } from './console';
import { ControllerClient, HttpReply } from './controller-client';
import { EXIT_FINDINGS, EXIT_OK } from '../exit-codes';

interface MemberRow {
  name: string;
  role: string;
  at: string;
  zone: string;
}

interface EngineRow {
  id: string;
  at: string;
  weights: string;
  leaving: boolean;
}

/** The body of `GET /v1/fleet`, as far as it is shown. */
interface FleetBody {
  controller: string;
  majority: boolean;
  diskFit: boolean;
  live: string[];
  revision: number;
  /** None from controllers of releases before evacuations. */
  evacuated?: string[];
  standing: VotersStatus;
  members: MemberRow[];
  engines: EngineRow[];
  /** Where a platform's dialect is spoken. */
  tallies?: TalliesStatus;
}

const OK = 200;

function formatVoter(voter: VoterStatus): string {
  const progress =
    voter.behind === undefined
      ? 'no answer'
      : `epoch ${voter.epoch}, ${voter.behind} changes behind`;
  return `  ${voter.at} ${voter.state}, ${progress}`;
}

/** The voters, whether they tolerate a loss and why not, and a reconfiguration that is under way. */
function formatVoterStatus(status: VotersStatus): string[] {
  function formatReason(reason: { reason: string; at?: string }): string {
    return reason.at ? `${reason.reason} ${reason.at}` : reason.reason;
  }
  const joint = status.joint
    ? [`joint set with ${status.joint.next.join(' ')} for ${Math.round(status.joint.sinceMs)} ms`]
    : [];
  const tolerance = status.bearsLoss
    ? 'a loss now would be borne'
    : `no loss would be borne now: ${status.reasons.map(formatReason).join(', ')}`;
  return ['voters', ...status.voters.map(formatVoter), ...joint, tolerance];
}

function formatMember(member: MemberRow): string {
  return `  ${member.role} ${member.name} ${member.at} ${member.zone}`;
}

function formatEngine(engine: EngineRow): string {
  return `  ${engine.id} ${engine.at} ${engine.weights}${engine.leaving ? ' leaving' : ''}`;
}

function formatEvacuated(zones: readonly string[] = []): string[] {
  return zones.length > 0 ? [`evacuated zones ${zones.join(' ')}`] : [];
}

function formatTalliesPeer({ at, isLevel, levelAgoMs }: TalliesPeerStatus): string {
  const since = levelAgoMs === undefined ? 'not yet' : `${levelAgoMs} ms ago`;
  return `  ${at} ${isLevel ? 'level' : 'catching up'}, last level ${since}`;
}

/** Whether tallies are served, and how far this controller is with each that it is connected to. */
function formatTallies(tallies: TalliesStatus): string[] {
  const service = tallies.isReady ? 'served' : 'not served until caught up';
  const disk = tallies.isWritable ? '' : ', the disk takes no additions';
  return [
    `tallies ${service}${disk}, ${tallies.additions} of at most ${tallies.maxAdditions} additions`,
    ...tallies.peers.map(formatTalliesPeer),
  ];
}

function formatFleet(fleet: FleetBody): string {
  const majority = fleet.majority ? 'in a majority' : 'no majority';
  const disk = fleet.diskFit ? 'fit' : 'unfit';
  return [
    `seen by ${fleet.controller}: ${majority}, disk ${disk}, revision ${fleet.revision}`,
    `core ${fleet.live.join(' ')}`,
    ...formatVoterStatus(fleet.standing),
    'members',
    ...fleet.members.map(formatMember),
    ...formatEvacuated(fleet.evacuated),
    'engines',
    ...fleet.engines.map(formatEngine),
    ...(fleet.tallies ? formatTallies(fleet.tallies) : []),
  ].join('\n');
}

/** Adds the commands. */
export function addFleetCommands(
  program: Command,
  client: ControllerClient,
  console: Console,
): void {
  async function status(): Promise<void> {
    const fleet = (await client.request('GET', '/v1/fleet')).body as FleetBody;
    console.print(fleet, formatFleet(fleet));
    process.exit(fleet.majority ? EXIT_OK : EXIT_FINDINGS);
  }

  async function show(path: string): Promise<void> {
    const { body } = await client.request('GET', path);
    console.print(body, JSON.stringify(body, null, 2));
    process.exit(EXIT_OK);
  }

  function showIntents(): Promise<void> {
    return show('/v1/intents');
  }

  function showKeys(): Promise<void> {
    return show('/v1/keys');
  }

  function showWeights(): Promise<void> {
    return show('/v1/weights');
  }

  function showChange(change: string): Promise<void> {
    const name = encodeURIComponent(change).replaceAll('%7E', '~').replaceAll('%3A', ':');
    return show(`/v1/changes/${name}`);
  }

  async function change(method: string, path: string, body?: unknown): Promise<void> {
    printChangeAndExit(console, await client.request(method, path, body));
  }

  function addKey(tenant: string): Promise<void> {
    return change('POST', `/v1/keys/${encodeURIComponent(tenant)}`, {});
  }

  function dropKey(tenant: string, id: string): Promise<void> {
    return change('DELETE', `/v1/keys/${encodeURIComponent(tenant)}/${encodeURIComponent(id)}`);
  }

  function nameWeights(model: string, weights: string): Promise<void> {
    return change('PUT', `/v1/weights/${encodeURIComponent(model)}`, { weights });
  }

  /** Prints `done`, or the error of an answer and what to do about it, and ends the program. */
  function printDoneAndExit(reply: HttpReply, done: string, advice: string): never {
    const body = reply.body as { error?: { code: string; message: string } };
    const isDone = reply.status === OK;
    console.print(body, isDone ? done : `${body.error?.code}: ${body.error?.message}${advice}`);
    return process.exit(isDone ? EXIT_OK : EXIT_FINDINGS);
  }

  async function bootstrapFleet(options: { without: string[] }): Promise<void> {
    const reply = await client.request('POST', '/v1/found', { without: options.without });
    printDoneAndExit(reply, 'the fleet is founded', '');
  }

  async function replaceVoter(out: string, into: string): Promise<void> {
    const reply = await client.request('POST', '/v1/voters', { out, into });
    printDoneAndExit(reply, `${into} votes in the place of ${out}`, '; repeat the command');
  }

  program.command('status').description('the fleet as a controller sees it').action(status);
  program.command('intents').description('the intents that stand').action(showIntents);
  program.command('change <change>').description('how far a change has come').action(showChange);
  const keys = program.command('keys').description("tenants' keys");
  keys.command('list').action(showKeys);
  keys.command('add <tenant>').description('make a key; it is shown once').action(addKey);
  keys.command('drop <tenant> <id>').description('withdraw a key').action(dropKey);
  const weights = program.command('weights').description('named weights');
  weights.command('list').action(showWeights);
  weights
    .command('name <model> <weights>')
    .description('name new weights of a model')
    .action(nameWeights);
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
}
