/** Zones of a day's machines that are cut off from the others. */

import { writeFileSync } from 'node:fs';
import { join, resolve } from 'node:path';
import { splitAt } from '../standins/platform/serve';
import { Site } from '../standins/platform/site';
import { CUTS_FILE, CUTS_IP, LinkCut } from './link-cuts';

/** What each process loads before its program. */
const LINKS_MODULE = resolve(__dirname, 'link-cuts.js');

/** Cuts zones off and heals them; only sites whose zones may be cut apart have such links. */
export class ZoneCuts {
  /** Flags for Node.js of each process. */
  readonly nodeFlags: readonly string[];
  private readonly zones = new Set<string>();
  private readonly file: string;

  constructor(
    private readonly site: Site,
    folder: string,
  ) {
    this.file = join(folder, 'cuts.json');
    this.nodeFlags = site.apart ? ['--require', LINKS_MODULE] : [];
  }

  /** The environment of a process at an IP number. */
  envOf(ip: string): Record<string, string> {
    return this.site.apart ? { [CUTS_FILE]: this.file, [CUTS_IP]: ip } : {};
  }

  /** Cuts a zone off; the given function heals the cut. */
  cutOff(zone: string): () => void {
    const { zones } = this;
    const tell = this.tell.bind(this);
    zones.add(zone);
    tell();
    function heal(): void {
      zones.delete(zone);
      tell();
    }
    return heal;
  }

  /** Whether a zone reaches another one. */
  reaches(from: string, to: string): boolean {
    return from === to || (!this.zones.has(from) && !this.zones.has(to));
  }

  private tell(): void {
    const cuts: LinkCut[] = [];
    for (const zone of this.zones) cuts.push(this.cutOf(zone));
    writeFileSync(this.file, JSON.stringify(cuts));
  }

  private cutOf(zone: string): LinkCut {
    const inside = new Set<string>();
    const outside = new Set<string>();
    const { edges, cores, engines } = this.site;
    for (const { ip, zone: at } of [...edges, ...cores]) (at === zone ? inside : outside).add(ip);
    for (const { at, zone: engineZone } of engines)
      (engineZone === zone ? inside : outside).add(splitAt(at).host);
    return { inside: [...inside], outside: [...outside] };
  }
}
