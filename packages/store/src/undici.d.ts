/** Types of the undici modules that `connections.ts` imports directly. */
declare module 'undici/lib/dispatcher/pool.js' {
  import type { Pool } from 'undici'
  const pool: typeof Pool
  export default pool
}

declare module 'undici/lib/dispatcher/client.js' {
  import type { Client } from 'undici'
  const client: typeof Client
  export default client
}
