import { Hello, PROTOCOL_VERSION } from './connections';
import { Settings } from '../settings/settings';

/** What a process of a role says first on a connection; a controller names its disk. */
export function helloOf(settings: Settings, role: string, disk?: string): Hello {
  const { name, wire, zone } = settings;
  const hello: Hello = { version: PROTOCOL_VERSION, name, role, at: wire, zone };
  return disk === undefined ? hello : { ...hello, disk };
}
