/**
 * The settings file that the platform gives a process.
 */

import { PROCESS_LIMITS, Site } from './site';

const POLICIES = [
  'base',
  'drain',
  'config',
  'cost',
  'retry',
  'recover',
  'kvcache',
  'stream',
  'engine',
  'tenants',
];
/** Those of sites whose zones may be cut apart. */
const APART_POLICIES = ['health', 'pool', 'places', 'apart'];

/** What a settings file tells a process. */
export interface SettingsOf {
  name: string;
  ip: string;
  zone: string;
  role: string;
  on: 'edge' | 'core';
  serves: string[];
  bootstrap: boolean;
  data?: string;
  seeds: string[];
}

/** A settings file, as the platform writes it. */
export function settingsText(site: Site, p: SettingsOf): string {
  const lines = [
    `nodeName = ${JSON.stringify(p.name)}`,
    `role = ${JSON.stringify(p.role)}`,
    `machineClass = "${p.on}"`,
    `serves = ${JSON.stringify(p.serves)}`,
    `ipAddress = "${p.ip}"`,
    `zone = "${p.zone}"`,
    'region = "here"',
    `internalPortRange = [${site.ports.internal.join(',')}]`,
    `seedNodes = ${JSON.stringify(p.seeds)}`,
    `bootstrap = ${p.bootstrap}`,
    `quorumMember = ${p.on === 'core'}`,
  ];
  if (p.data !== undefined) lines.push(`dataDirectory = ${JSON.stringify(p.data)}`);
  lines.push(
    'discovery = "platform"',
    'entryMode = "virtual_ip"',
    'heartbeatMs = 1200',
    `policies = ${JSON.stringify(site.apart ? [...POLICIES, ...APART_POLICIES] : POLICIES)}`,
    '[zones]',
  );
  for (const z of site.zones) lines.push(`${z} = "here"`);
  lines.push('[bindAddresses]');
  if (p.serves.includes('edge'))
    lines.push(
      `frontend = "${p.ip}:${site.ports.frontend}"`,
      `readiness = "${p.ip}:${site.ports.readiness}"`,
    );
  if (p.serves.includes('control_plane')) lines.push(`control = "${p.ip}:${site.ports.control}"`);
  const { memoryMb, maxOpenFiles } = site.limits ?? PROCESS_LIMITS;
  lines.push(
    '[limits]',
    'cpuShare = 0.81',
    'cpuCores = 2',
    `memoryMb = ${memoryMb}`,
    `maxOpenFiles = ${maxOpenFiles}`,
    'bandwidthMbps = 1000.0',
    `diskMb = ${p.data === undefined ? 0 : 128}`,
  );
  const zones = site.apart ? 1 : 0;
  lines.push('[faultTolerance]', 'machines = 1', `zones = ${zones}`);
  lines.push('regions = 0', '[guarantees]');
  for (const [k, v] of Object.entries(site.bounds)) lines.push(`${k} = ${v}`);
  lines.push(
    '[platformApi]',
    `address = "${site.list.at}"`,
    `ratePerS = ${site.list.ratePerS.toFixed(1)}`,
    'duties = []',
    `maxLagMs = ${site.list.maxLagMs}`,
  );
  return lines.join('\n') + '\n';
}
