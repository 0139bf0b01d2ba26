import { Engine } from '../../src/shared/state/engines';
import { Intents, Service, Tenant } from '../../src/shared/state/intents';
import { EngineWays } from './engineways';

/** The shape of one of the two deployments, on one machine's loopback addresses. */
export interface Deployment {
  name: string;
  model: string;
  weightsBoundMs: number;
  core: {
    name: string;
    zone: string;
    wire: string;
    http: string;
    indexWire: string;
    indexHttp: string;
  }[];
  edge: { name: string; zone: string; wire: string; http: string }[];
  engines: Omit<EngineWays, 'ledger'>[];
  store: Omit<EngineWays, 'ledger'>;
  platform: string;
  intents: Intents;
  rates: { shortPerS: number; longPerS: number };
}

/** Sizes that differ between the two. */
interface Sizes {
  engines: number;
  batch: number;
  mostTokens: number;
  prefillMs: [number, number];
  weightsBoundMs: number;
  model: string;
  longService: string;
  shortService: string;
  longPerS: number;
}

const SIZES: Record<string, Sizes> = {
  'saffron-bay': {
    engines: 13,
    batch: 16,
    mostTokens: 40000,
    prefillMs: [0.08, 0.14],
    weightsBoundMs: 12000,
    model: 'roster',
    longService: 'check',
    shortService: 'swap',
    longPerS: 13,
  },
  'atlas-ordre': {
    engines: 8,
    batch: 24,
    mostTokens: 60000,
    prefillMs: [0.06, 0.09],
    weightsBoundMs: 15000,
    model: 'orders',
    longService: 'mandate',
    shortService: 'ticket',
    longPerS: 18,
  },
};

/** The names of the deployments. */
export const DEPLOYMENTS = Object.keys(SIZES);

const ZONES = ['zone-a', 'zone-b', 'zone-c'];

function makeIntents(z: Sizes, store: string): Intents {
  const tenants: Tenant[] = [];
  const services: Service[] = [];
  const rules: Intents['rules'] = [];
  for (let i = 1; i <= 8; i++) {
    const id = `tenant-${i}`;
    tenants.push(i <= 5 ? { id, sharing: 'walled' } : { id, sharing: 'group', group: 'branches' });
    const base = { tenant: id, model: z.model, mayRepeat: false, secondTries: 0.15 };
    services.push({
      ...base,
      id: `${z.longService}-${i}`,
      urgency: 'normal',
      deadlineMs: 30000,
      maxTokens: 24,
    });
    services.push({
      ...base,
      id: `${z.shortService}-${i}`,
      urgency: 'high',
      deadlineMs: 10000,
      maxTokens: 8,
      mayRepeat: i % 4 === 0,
    });
    rules.push(
      { tenant: id, label: 'long', service: `${z.longService}-${i}` },
      { tenant: id, label: 'short', service: `${z.shortService}-${i}` },
    );
  }
  return {
    tenants,
    models: [{ id: z.model }],
    services,
    rules,
    cacheStores: [{ id: 'store-1', at: store, zone: 'zone-a' }],
  };
}

/** Builds a deployment; `net` keeps several on one machine apart. */
export function makeDeployment(name: string, net = 10): Deployment | undefined {
  const z = SIZES[name];
  if (!z) return undefined;
  const core: Deployment['core'] = [];
  const edge: Deployment['edge'] = [];
  const engines: Deployment['engines'] = [];
  for (let i = 0; i < 3; i++) {
    const ip = `127.${net}.1.${i + 1}`;
    core.push({
      name: `core-${i + 1}`,
      zone: ZONES[i],
      wire: `${ip}:7000`,
      http: `${ip}:8000`,
      indexWire: `${ip}:7001`,
      indexHttp: `${ip}:8001`,
    });
  }
  for (let i = 0; i < 9; i++)
    edge.push({
      name: `edge-${i + 1}`,
      zone: ZONES[i % 3],
      wire: `127.${net}.2.${i + 1}:7000`,
      http: `127.${net}.2.${i + 1}:8080`,
    });
  const base = {
    model: z.model,
    weights: 'w1',
    batch: z.batch,
    queue: z.batch,
    mostTokens: z.mostTokens,
    decodeMs: 12,
    keepBatches: 128,
    loseEvents: 0,
    swapMs: 1500,
  };
  for (let i = 0; i < z.engines; i++)
    engines.push({
      ...base,
      id: `engine-${i + 1}`,
      at: `127.${net}.3.${i + 1}:9000`,
      zone: ZONES[i % 3],
      prefillMs: z.prefillMs[i % 2],
    });
  const store = {
    ...base,
    id: 'store-1',
    at: `127.${net}.4.2:9100`,
    zone: 'zone-a',
    mostTokens: z.mostTokens * 10,
    prefillMs: 0,
  };
  return {
    name,
    model: z.model,
    weightsBoundMs: z.weightsBoundMs,
    core,
    edge,
    engines,
    store,
    platform: `127.${net}.4.1:9200`,
    intents: makeIntents(z, store.at),
    rates: { shortPerS: 160, longPerS: z.longPerS },
  };
}

/** How the platform lists a stand-in engine. */
export function listed(w: Omit<EngineWays, 'ledger'>): Engine {
  return { id: w.id, at: w.at, zone: w.zone, model: w.model, weights: w.weights, leaving: false };
}
