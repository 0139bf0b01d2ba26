declare module 'prom-client/lib/histogram' {
  export { Histogram as default } from 'prom-client';
}

declare module 'prom-client/lib/registry' {
  export { Registry as default } from 'prom-client';
}
