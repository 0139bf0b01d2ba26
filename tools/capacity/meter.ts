import { subscribe } from 'node:diagnostics_channel';
import { Socket } from 'node:net';
import { Connection, Message, Network } from '../../src/shared/ports/network';
import { Disk } from '../../src/shared/ports/disk';
import { Ports } from '../../src/shared/ports/ports';
import { Listener } from '../../src/shared/ports/network';
import { Result } from '../../src/shared/errors/errors';

/** What one process has used since it began; memory is as it stands. */
export interface Figures {
  atMs: number;
  cpuMs: number;
  rssMb: number;
  heapMb: number;
  bytesIn: number;
  bytesOut: number;
  sent: Record<string, number>;
  took: Record<string, number>;
  diskBytes: number;
  diskSyncs: number;
  more: Record<string, number>;
}

/** Counts what a process sends, takes and writes; bytes are those of its sockets. */
export interface Meter {
  ports: (p: Ports) => Ports;
  read: (more?: Record<string, number>) => Figures;
}

/** Starts counting; sockets that were open before are not seen. */
export function startMeter(): Meter {
  const open = new Set<Socket>();
  const ended = { bytesIn: 0, bytesOut: 0 };
  const sent: Record<string, number> = {};
  const took: Record<string, number> = {};
  const disk = { bytes: 0, syncs: 0 };

  function opened(m: unknown): void {
    const { socket } = m as { socket: Socket };
    open.add(socket);
    function closed(): void {
      if (!open.delete(socket)) return;
      ended.bytesIn += socket.bytesRead;
      ended.bytesOut += socket.bytesWritten;
    }
    socket.on('close', closed);
  }
  subscribe('net.client.socket', opened);
  subscribe('net.server.socket', opened);

  function nameOf(m: Message): string {
    return m.re !== undefined ? 'return' : (m.type ?? '');
  }

  function counted(c: Connection): Connection {
    function send(m: Message): boolean {
      sent[nameOf(m)] = (sent[nameOf(m)] ?? 0) + 1;
      return c.send(m);
    }
    function arrived(m: Message): void {
      took[nameOf(m)] = (took[nameOf(m)] ?? 0) + 1;
    }
    return {
      peer: c.peer,
      messages: c.messages.tap(arrived),
      closed: c.closed,
      send,
      close: c.close,
    };
  }

  function countedWire(w: Network): Network {
    function accept(at: string, take: (c: Connection) => void): Promise<Result<Listener>> {
      function taken(c: Connection): void {
        take(counted(c));
      }
      return w.listen(at, taken);
    }
    async function dial(at: string, within: number): Promise<Result<Connection>> {
      return (await w.connect(at, within)).map(counted);
    }
    return { serveHttp: w.serveHttp, request: w.request, listen: accept, connect: dial };
  }

  function countedDisk(d: Disk): Disk {
    function write(name: string, bytes: Uint8Array): ReturnType<Disk['write']> {
      disk.bytes += bytes.length;
      disk.syncs++;
      return d.write(name, bytes);
    }
    function append(name: string, bytes: Uint8Array): ReturnType<Disk['append']> {
      disk.bytes += bytes.length;
      disk.syncs++;
      return d.append(name, bytes);
    }
    return { read: d.read, write, append };
  }

  function ports(p: Ports): Ports {
    return { ...p, network: countedWire(p.network), disk: countedDisk(p.disk) };
  }

  function read(more: Record<string, number> = {}): Figures {
    const used = process.cpuUsage();
    const memory = process.memoryUsage();
    const bytes = { ...ended };
    for (const s of open) {
      bytes.bytesIn += s.bytesRead;
      bytes.bytesOut += s.bytesWritten;
    }
    return {
      atMs: performance.now(),
      cpuMs: (used.user + used.system) / 1000,
      rssMb: memory.rss / 1e6,
      heapMb: (memory.heapUsed + memory.external) / 1e6,
      ...bytes,
      sent: { ...sent },
      took: { ...took },
      diskBytes: disk.bytes,
      diskSyncs: disk.syncs,
      more,
    };
  }

  return { ports, read };
}

/** What was used between two readings, a second. */
export interface Rates {
  seconds: number;
  cpuMs: number;
  bytesIn: number;
  bytesOut: number;
  messages: number;
  diskBytes: number;
  diskSyncs: number;
  rssMb: number;
  heapMb: number;
  more: Record<string, number>;
}

function total(r: Record<string, number>): number {
  let t = 0;
  for (const n of Object.values(r)) t += n;
  return t;
}

/** The difference of two readings, divided by the seconds between them; memory and the rest as at the second. */
export function ratesOf(a: Figures, b: Figures): Rates {
  const seconds = (b.atMs - a.atMs) / 1000;
  function a1(x: number, y: number): number {
    return (y - x) / seconds;
  }
  return {
    seconds,
    cpuMs: a1(a.cpuMs, b.cpuMs),
    bytesIn: a1(a.bytesIn, b.bytesIn),
    bytesOut: a1(a.bytesOut, b.bytesOut),
    messages: a1(total(a.sent), total(b.sent)) + a1(total(a.took), total(b.took)),
    diskBytes: a1(a.diskBytes, b.diskBytes),
    diskSyncs: a1(a.diskSyncs, b.diskSyncs),
    rssMb: b.rssMb,
    heapMb: b.heapMb,
    more: b.more,
  };
}
