import { PermitShares } from '../../src/control/warm-up/permit-shares';
import { Member } from '../../src/shared/state/members';
import { engineOf } from './warm-up-rig';

const ROUTERS_PER_ZONE = 21;
const ZONES = ['zone-a', 'zone-b', 'zone-c'];
const DISKS = ['a', 'b', 'c', 'd', 'e'];
const QUOTA = 7;

function routersOf(zone: string): Member[] {
  const routers: Member[] = [];
  for (let i = 0; i < ROUTERS_PER_ZONE; i++)
    routers.push({ name: `${zone}-${i}`, role: 'router', at: '', http: '', zone, life: '1' });
  return routers;
}

/** The permits that all voters grant to the routers of a zone for an engine of the first one. */
function permitsOf(zone: string): number {
  const shares = new PermitShares();
  const routers = ZONES.flatMap(routersOf);
  let permits = 0;
  for (const [index, disk] of DISKS.entries()) {
    const place = { disk, index, count: DISKS.length };
    const share = shares.share(engineOf('i-1', ZONES[0]), routers, QUOTA, place);
    for (const [incarnation, count] of share) if (incarnation.includes(zone)) permits += count;
  }
  return permits;
}

/** Guards against SHORT: while the only engine of a pool is cold, routers of other zones refuse all that is for it. */
function everyZoneHasPermits(): void {
  expect(ZONES.map(permitsOf).filter(isNone)).toEqual([]);
}

function isNone(permits: number): boolean {
  return permits === 0;
}

test('routers of each zone have permits for an engine', everyZoneHasPermits);
