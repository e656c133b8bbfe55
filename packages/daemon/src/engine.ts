/** Settings of the JavaScript engine, made before anything that they concern is loaded. */
import { setFlagsFromString } from 'node:v8'

/**
 * WebAssembly stays with its first, quick compiler. The parser of the HTTP client is WebAssembly: once it has been
 * used a little, the optimising compiler takes 38 MB for a moment, of which 10 MB stay resident for good.
 */
setFlagsFromString('--liftoff-only')
