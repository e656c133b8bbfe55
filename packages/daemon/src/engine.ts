/** Settings of the JavaScript engine. They must be applied before any module that they affect is loaded. */
import { setFlagsFromString } from 'node:v8'

/**
 * Restricts WebAssembly to the baseline compiler. The parser of the HTTP client is WebAssembly: after a little use, the
 * optimising compiler takes 38 MB for a moment, of which 10 MB stay resident.
 */
setFlagsFromString('--liftoff-only')
